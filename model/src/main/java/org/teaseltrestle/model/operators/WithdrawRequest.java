package org.teaseltrestle.model.operators;

/**
 * Request to withdraw a key.
 *
 * @param requestId chosen by the operator; a resend gets the first answer
 */
public record WithdrawRequest(String requestId) {}
