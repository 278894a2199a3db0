package org.teaseltrestle.node.replica;

import java.util.Arrays;
import java.util.Optional;

/**
 * Calls that only the leader can serve, with their message kind in the service {@link #SERVICE}.
 */
enum LeaderRequest {
  /** Body: encoded Command. */
  PROPOSE(1),
  /** Empty body; answered with an index that a quorum confirms as committed. */
  CONFIRM(2),
  /** Body: WithdrawalQuery. */
  WITHDRAWAL(3);

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
