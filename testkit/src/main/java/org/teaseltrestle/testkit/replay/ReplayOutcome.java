package org.teaseltrestle.testkit.replay;

/** How a replayed request ended for its caller. */
public enum ReplayOutcome {
  /** The response is complete and as expected. */
  COMPLETED,
  /** The system refused the request or ended it with an error response or event. */
  REFUSED,
  /** The connection failed or closed before the response was complete, without an error event. */
  BROKEN,
  /** The response differs from the expected one or violates the protocol. */
  WRONG
}
