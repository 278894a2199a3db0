package org.teaseltrestle.model.operators;

/**
 * An instance that may still act on an older state.
 *
 * @param instance instance id
 * @param leaseEndsAtMillis time by which its key lease is guaranteed to have ended
 */
public record UnconfirmedInstance(String instance, long leaseEndsAtMillis) {}
