package org.teaseltrestle.model.operators;

/**
 * An instance that may still act on an older state.
 *
 * @param instance instance id
 * @param leaseEndsAtMillis time at which its key lease has surely ended
 */
public record UnconfirmedInstance(String instance, long leaseEndsAtMillis) {}
