package org.teaseltrestle.policy;

/**
 * A limit of a backend server that a node passed on to the others.
 *
 * @param requestsPerSecond requests a second that the server takes from all nodes together
 * @param version index in the replicated log
 */
public record SharedServerLimit(double requestsPerSecond, long version) {}
