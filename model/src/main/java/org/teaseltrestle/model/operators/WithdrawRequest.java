package org.teaseltrestle.model.operators;

/**
 * Request to withdraw a key.
 *
 * @param requestId chosen by the operator; a retry with the same id returns the first response
 */
public record WithdrawRequest(String requestId) {}
