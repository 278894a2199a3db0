package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;

/**
 * End of one attempt at a backend server.
 *
 * @param failure null if the answer was complete
 * @param outputTokens output tokens received in this attempt
 * @param firstTokenNanos time from dispatch to the first token in nanoseconds, 0 if there was none
 */
public record AttemptOutcome(
    @Nullable FailureKind failure, int outputTokens, long firstTokenNanos) {

  /** Tells whether the answer was complete. */
  public boolean succeeded() {
    return failure == null;
  }
}
