package org.teaseltrestle.node.port;

/**
 * Load report of a plain service's replica.
 *
 * @param running requests running
 * @param waiting requests waiting
 * @param leaving whether the replica takes no new work
 */
public record ServiceLoad(int running, int waiting, boolean leaving) {}
