package org.teaseltrestle.control;

/**
 * Context of the command that is applied, as visible to the areas of the state.
 *
 * @param index log index
 * @param requestId request id of the command
 * @param proposedAtMillis wall time of the proposer, milliseconds since 1970
 * @param stateTimeMillis state time, milliseconds since 1970
 */
record CommandContext(long index, String requestId, long proposedAtMillis, long stateTimeMillis) {}
