package org.teaseltrestle.policy;

/**
 * A backend server that may run a request now.
 *
 * @param server the server
 * @param prefillTokens prompt tokens that it has to prefill: those not in its prefix cache
 * @param pieces pieces of its cache memory that the request takes until its end
 */
record Candidate(ServerState server, int prefillTokens, int pieces) {}
