package org.teaseltrestle.control;

/**
 * What the areas of the state may know about the command that is applied.
 *
 * @param index log index
 * @param requestId request id of the command
 * @param proposedAtMillis proposer's wall time, milliseconds since 1970
 * @param stateTimeMillis state time, milliseconds since 1970
 */
record CommandContext(long index, String requestId, long proposedAtMillis, long stateTimeMillis) {}
