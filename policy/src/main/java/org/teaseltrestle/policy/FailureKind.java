package org.teaseltrestle.policy;

/** How an attempt at a backend server ended when it did not succeed. */
public enum FailureKind {
  /** The connection was refused or never established: no byte left. */
  CONNECT_FAILED,
  /** The backend server answered that it is leaving and ran nothing. */
  REFUSED_LEAVING,
  /** The backend server answered that it is overloaded and ran nothing. */
  REFUSED_BUSY,
  /** The connection broke after the request may have left and before any answer. */
  LOST_BEFORE_ANSWER,
  /** The connection broke, or the stream ended early, after a part of the answer. */
  LOST_DURING_ANSWER,
  /** No answer, or no next token, in time. */
  TIMED_OUT,
  /** The backend server answered with an error status. */
  SERVER_ERROR,
  /** The answer bears another request's identifier. */
  ANSWER_MISMATCH,
  /** The caller left or the process cancelled the attempt. */
  CANCELLED
}
