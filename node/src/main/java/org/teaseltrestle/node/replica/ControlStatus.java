package org.teaseltrestle.node.replica;

/**
 * State of the control plane in this process.
 *
 * @param role leader, follower, candidate, pre_candidate, or following for a non-voter
 * @param term current term, 0 for a non-voter
 * @param leader instance of the leader or, for a non-voter, of the parent; empty if unknown
 * @param appliedIndex last applied log index
 * @param droppedMessages messages and requests refused because the duty's ring was full
 */
public record ControlStatus(
    String role, long term, String leader, long appliedIndex, long droppedMessages) {}
