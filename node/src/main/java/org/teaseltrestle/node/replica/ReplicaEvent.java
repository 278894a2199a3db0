package org.teaseltrestle.node.replica;

import org.teaseltrestle.kernel.LogEvent;

/** Log events of the control plane of a node, numbers 3000 to 3999. */
public enum ReplicaEvent implements LogEvent {
  REPLICA_OPENED(3001, "replica opened its data folder and recovered its state"),
  REPLICA_STOPPED(
      3002, "replica stopped after a failure and does not vote until it is opened again"),
  ROLE_CHANGED(3003, "role, term or leader changed"),
  SNAPSHOT_SAVED(3004, "snapshot of the control state saved"),
  STATE_RESTORED(3005, "control state restored from a snapshot"),
  MALFORMED_MESSAGE(3006, "message could not be decoded and is ignored"),
  READY(3007, "control state has reached the confirmed index"),
  AUTHORITY_CLAIMED(3008, "authority claimed"),
  INSTANCE_REGISTERING(3009, "instance is being registered"),
  INSTANCE_RETIRING(3010, "instance is being retired"),
  PARENT_CHANGED(3011, "parent in the dissemination tree changed"),
  PROPOSAL_FAILED(3012, "internal proposal failed"),
  FOLLOWING_INSTEAD(
      3013, "local replica is unavailable; this instance follows the committed log instead"),
  REOPEN_FAILED(3014, "data folder cannot be used yet; the replica is opened again later"),
  ENTRIES_MISSING(3017, "entries of the committed log are missing; the parent is asked for them"),
  KNOWLEDGE_OLD(
      3018, "no recent news of the committed log; requests may be decided by an older version"),
  KNOWLEDGE_RECENT(3019, "news of the committed log is recent again"),
  LEADER_HEARD(3020, "this instance has heard of another leader; waiting calls are sent to it"),
  VOTERS_RECORDED(3021, "voters of the group changed and are being recorded for all nodes"),
  CHANGE_IN_FORCE(
      3022, "change may be acknowledged: all instances but those that are passed over obey it"),
  PARENT_NOT_FOUND(3023, "no candidate for the parent has recent news; the search goes on"),
  PARENT_SEARCH_BEGINS(
      3024, "parent has no recent news, or the leader does not answer renewals; others are asked"),
  FEED_BUDGET_USED(
      3025, "children have not acknowledged as many bytes as they may have; others wait for them"),
  DIFFERENCE_UNREADABLE(
      3026, "entry of the committed log does not fit the state before it; it is requested whole");

  private final int number;
  private final String text;

  ReplicaEvent(int number, String text) {
    this.number = number;
    this.text = text;
  }

  @Override
  public int number() {
    return number;
  }

  @Override
  public String text() {
    return text;
  }
}
