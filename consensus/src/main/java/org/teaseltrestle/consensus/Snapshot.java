package org.teaseltrestle.consensus;

/**
 * State of the state machine after one log entry.
 *
 * @param index last entry contained
 * @param term term of that entry
 * @param configuration members as of that entry
 * @param data encoded state; must not be changed
 */
public record Snapshot(long index, long term, Configuration configuration, byte[] data) {}
