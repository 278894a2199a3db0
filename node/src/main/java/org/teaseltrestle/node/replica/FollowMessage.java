package org.teaseltrestle.node.replica;

import java.util.Arrays;
import java.util.Optional;

/** Messages between parent and child, with their kind in the service {@link #SERVICE}. */
enum FollowMessage {
  /** Upward: RenewalBundle. */
  RENEWALS(1),
  /** Downward: CommittedCommands. */
  COMMANDS(2),
  /** Downward: CommittedState. */
  STATE(3),
  /** Downward: GrantBundle. */
  GRANTS(4);

  static final String SERVICE = "follow";

  private final int kind;

  FollowMessage(int kind) {
    this.kind = kind;
  }

  int kind() {
    return kind;
  }

  static Optional<FollowMessage> of(int kind) {
    return Arrays.stream(values()).filter(message -> message.kind == kind).findFirst();
  }
}
