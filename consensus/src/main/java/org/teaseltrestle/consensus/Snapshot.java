package org.teaseltrestle.consensus;

/**
 * State of the state machine as of one log entry.
 *
 * @param index index of the last entry covered
 * @param term term of that entry
 * @param configuration configuration in effect at that entry
 * @param data encoded state; must not be changed
 */
public record Snapshot(long index, long term, Configuration configuration, byte[] data) {}
