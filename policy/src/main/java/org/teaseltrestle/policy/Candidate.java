package org.teaseltrestle.policy;

/**
 * A backend server with capacity to run a request now.
 *
 * @param server the server
 * @param prefillTokens prompt tokens that the server has to prefill: those not in its prefix cache
 * @param blocks KV cache blocks that the request needs until its end
 */
record Candidate(ServerState server, int prefillTokens, int blocks) {}
