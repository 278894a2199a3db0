package org.teaseltrestle.model.operators;

/**
 * Request for a planned change of a backend server.
 *
 * @param requestId chosen by the operator; a retry with the same id returns the first response
 * @param backendServer backend server id
 * @param kind drain, undrain or replace
 */
public record PlannedChange(String requestId, String backendServer, String kind) {}
