package org.teaseltrestle.node.orders;

import org.teaseltrestle.node.port.EngineOrderClient;
import org.teaseltrestle.node.port.EntryInstances;
import org.teaseltrestle.node.port.PlatformFleet;
import org.teaseltrestle.node.port.PlatformOrderClient;
import org.teaseltrestle.node.port.PlatformUsageClient;

/**
 * Clients for the external calls of the orders duty.
 *
 * @param engineOrders sends orders to engines
 * @param platformOrders sends orders to the platform
 * @param platformUsage reports usage windows to the platform
 * @param platformFleet reads the platform's list of backend servers
 * @param entryInstances reads the platform's list of this system's own instances
 */
public record ExternalClients(
    EngineOrderClient engineOrders,
    PlatformOrderClient platformOrders,
    PlatformUsageClient platformUsage,
    PlatformFleet platformFleet,
    EntryInstances entryInstances) {}
