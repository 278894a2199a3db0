package org.teaseltrestle.node.port;

/**
 * Load report of a plain service's replica.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param leaving whether the replica accepts no new work because it is leaving the fleet
 */
public record ServiceLoad(int running, int waiting, boolean leaving) {}
