package org.teaseltrestle.node.orders;

import org.teaseltrestle.node.port.EngineOrders;
import org.teaseltrestle.node.port.EntryInstances;
import org.teaseltrestle.node.port.PlatformFleet;
import org.teaseltrestle.node.port.PlatformOrders;
import org.teaseltrestle.node.port.PlatformUsage;

/**
 * Interfaces through which the orders duty acts outward.
 *
 * @param engineOrders orders to engines
 * @param platformOrders orders to the platform
 * @param platformUsage usage reports
 * @param platformFleet list of backend servers
 * @param entryInstances list of this system's own instances
 */
public record OutwardPorts(
    EngineOrders engineOrders,
    PlatformOrders platformOrders,
    PlatformUsage platformUsage,
    PlatformFleet platformFleet,
    EntryInstances entryInstances) {}
