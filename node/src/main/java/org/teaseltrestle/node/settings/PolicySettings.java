package org.teaseltrestle.node.settings;

import org.teaseltrestle.node.orders.EngineRates;
import org.teaseltrestle.policy.PolicyConfiguration;

/**
 * Which variant of each decision is in use; the baselines are kept for comparison.
 *
 * @param replicaChoice how a backend server is chosen
 * @param queueing order of waiting requests
 * @param roles whether engine roles follow the mix of work
 * @param spending whether the number of backend servers follows the demand
 * @param engineRates what one engine can do and how long an ordered one takes to arrive
 */
public record PolicySettings(
    PolicyConfiguration.ReplicaChoice replicaChoice,
    PolicyConfiguration.Queueing queueing,
    PolicyConfiguration.Roles roles,
    PolicyConfiguration.Spending spending,
    EngineRates engineRates) {}
