package org.teaseltrestle.model.operators;

/**
 * Request for a planned change of a backend server.
 *
 * @param requestId chosen by the operator; a resend gets the first answer
 * @param backendServer backend server id
 * @param kind drain, undrain or replace
 */
public record PlannedChange(String requestId, String backendServer, String kind) {}
