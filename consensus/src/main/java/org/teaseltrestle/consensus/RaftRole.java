package org.teaseltrestle.consensus;

/** Role of a replica. */
public enum RaftRole {
  FOLLOWER,
  PRE_CANDIDATE,
  CANDIDATE,
  LEADER
}
