package org.teaseltrestle.policy;

import org.jspecify.annotations.Nullable;

/**
 * Result of one attempt at a backend server.
 *
 * @param failure why the attempt failed, null if the response was complete
 * @param outputTokens output tokens received in this attempt
 * @param firstTokenNanos time from dispatch to the first token in nanoseconds, 0 if there was no
 *     token
 */
public record AttemptOutcome(
    @Nullable FailureKind failure, int outputTokens, long firstTokenNanos) {

  /** Returns whether the prompt was answered: a rejected request has no token and no response. */
  public boolean isAnswered() {
    return failure == null && firstTokenNanos > 0;
  }

  /** Returns whether the response was complete, also if it rejects the request. */
  public boolean succeeded() {
    return failure == null;
  }
}
