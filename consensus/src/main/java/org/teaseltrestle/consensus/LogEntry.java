package org.teaseltrestle.consensus;

/**
 * Entry of the replicated log.
 *
 * @param index position in the log, from 1
 * @param term term of the leader that created it
 * @param payload command or encoded configuration; must not be changed
 */
public record LogEntry(long index, long term, EntryKind kind, byte[] payload) {}
