package org.teaseltrestle.node.carry;

import java.util.Arrays;
import java.util.Optional;

/** Kinds of messages about carried attempts. */
enum CarryMessage {
  RESERVE(1),
  BODY(2),
  START(3),
  READ(4),
  CANCEL(5);

  static final String SERVICE = "carry";

  private final int kind;

  CarryMessage(int kind) {
    this.kind = kind;
  }

  int kind() {
    return kind;
  }

  static Optional<CarryMessage> of(int kind) {
    return Arrays.stream(values()).filter(each -> each.kind == kind).findFirst();
  }
}
