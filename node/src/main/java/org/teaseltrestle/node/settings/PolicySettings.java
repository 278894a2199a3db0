package org.teaseltrestle.node.settings;

import org.teaseltrestle.node.orders.EngineRates;
import org.teaseltrestle.policy.PolicyConfiguration;

/**
 * Policy variants in use. The baseline variants exist for comparison.
 *
 * @param replicaChoice how a backend server is chosen
 * @param queueing order of waiting requests
 * @param roles whether engine roles are adapted to the workload mix
 * @param spending whether the number of backend servers is adapted to the demand
 * @param engineRates throughput of one engine and provisioning time of an ordered one
 */
public record PolicySettings(
    PolicyConfiguration.ReplicaChoice replicaChoice,
    PolicyConfiguration.Queueing queueing,
    PolicyConfiguration.Roles roles,
    PolicyConfiguration.Spending spending,
    EngineRates engineRates) {}
