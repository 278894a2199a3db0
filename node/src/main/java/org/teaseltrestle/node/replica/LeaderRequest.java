package org.teaseltrestle.node.replica;

import java.util.Arrays;
import java.util.Optional;

/** Requests that only the leader can serve, with their message kind in {@link #SERVICE}. */
enum LeaderRequest {
  /** Body: encoded Command. */
  PROPOSE(1),
  /** Empty body; the response has an index that a quorum has confirmed as committed. */
  CONFIRM(2),
  /** Body: WithdrawalQuery. */
  WITHDRAWAL(3),
  /** Body: ChangeQuery. */
  AWAITED(4);

  static final String SERVICE = "control";

  private final int kind;

  LeaderRequest(int kind) {
    this.kind = kind;
  }

  int kind() {
    return kind;
  }

  static Optional<LeaderRequest> of(int kind) {
    return Arrays.stream(values()).filter(request -> request.kind == kind).findFirst();
  }
}
