package org.teaseltrestle.node.replica;

import java.util.Arrays;
import java.util.Optional;

/**
 * Messages between parent and child in the dissemination tree, with their kind in {@link #SERVICE}.
 */
enum FollowMessage {
  /** RenewalBundle from child to parent. */
  RENEWALS(1),
  /** CommittedCommands from parent to child. */
  COMMANDS(2),
  /** CommittedState from parent to child. */
  STATE(3),
  /** GrantBundle from parent to child. */
  GRANTS(4),
  /** CommittedStatePart from parent to child. */
  STATE_PART(5);

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
