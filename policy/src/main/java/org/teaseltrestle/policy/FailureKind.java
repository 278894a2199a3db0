package org.teaseltrestle.policy;

/** Why an attempt at a backend server failed. */
public enum FailureKind {
  /** The connection was refused or not established; no byte was sent. */
  CONNECT_FAILED,
  /** The backend server responded that it is leaving; it did not run the request. */
  REFUSED_LEAVING,
  /** The backend server responded that it is overloaded; it did not run the request. */
  REFUSED_BUSY,
  /** The connection broke after the request may have been sent and before any response. */
  LOST_BEFORE_ANSWER,
  /** The connection broke or the stream ended early after a part of the response. */
  LOST_DURING_ANSWER,
  /** No response, or no further token, within the timeout. */
  TIMED_OUT,
  /** The backend server responded with an error status. */
  SERVER_ERROR,
  /** The response carries the identifier of another request. */
  ANSWER_MISMATCH,
  /** The response violates the protocol, so that nothing in it counts. */
  MALFORMED_ANSWER,
  /** The caller disconnected, or this process cancelled the attempt. */
  CANCELLED;

  /** Returns whether the connection broke after the request may have been sent. */
  public boolean isConnectionLost() {
    return this == LOST_BEFORE_ANSWER || this == LOST_DURING_ANSWER;
  }
}
