package org.teaseltrestle.node.port;

import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.policy.FailureKind;

/** Failure of an attempt that ended without a complete response of the backend server. */
public final class AttemptFailure extends TrestleException {

  private static final long serialVersionUID = 1L;

  private final FailureKind kind;
  private final int httpStatus;

  /** Creates a failure of an attempt that received no HTTP response. */
  public AttemptFailure(FailureKind kind, String message) {
    this(kind, message, 0);
  }

  /**
   * Creates a failure of an attempt that may have received a status.
   *
   * @param httpStatus status of the backend server's response, 0 if there was none
   */
  public AttemptFailure(FailureKind kind, String message, int httpStatus) {
    super(ErrorCode.UNREACHABLE, message);
    this.kind = kind;
    this.httpStatus = httpStatus;
  }

  /** Returns how the attempt ended. */
  public FailureKind kind() {
    return kind;
  }

  /** Returns the status of the backend server's response, 0 if there was none. */
  public int httpStatus() {
    return httpStatus;
  }
}
