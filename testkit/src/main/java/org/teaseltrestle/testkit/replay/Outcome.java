package org.teaseltrestle.testkit.replay;

/** How a replayed request ended for its caller. */
public enum Outcome {
  /** The whole answer came and is the known one. */
  COMPLETED,
  /** The system refused the request or ended it with an error of its own. */
  REFUSED,
  /** The connection failed or ended without a whole answer and without an error. */
  BROKEN,
  /** The answer looked whole and is not the known one. */
  WRONG
}
