package org.teaseltrestle.node.port;

import java.util.List;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.policy.FailureKind;

/** Failure of an attempt that ended without a complete response of the backend server. */
public final class AttemptFailure extends TrestleException {

  private static final long serialVersionUID = 1L;
  private static final int MAXIMUM_LOGGED_IDS = 4;

  private final FailureKind kind;
  private final int httpStatus;
  private final boolean foreignResponse;
  private final boolean connectTimeout;

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
    this(kind, message, httpStatus, false, false);
  }

  private AttemptFailure(
      FailureKind kind,
      String message,
      int httpStatus,
      boolean foreignResponse,
      boolean connectTimeout) {
    super(ErrorCode.UNREACHABLE, message);
    this.kind = kind;
    this.httpStatus = httpStatus;
    this.foreignResponse = foreignResponse;
    this.connectTimeout = connectTimeout;
  }

  /** Returns the failure of an attempt whose connection was neither made nor refused in time. */
  public static AttemptFailure connectTimeout(String message) {
    return new AttemptFailure(FailureKind.CONNECT_FAILED, message, 0, false, true);
  }

  /**
   * Returns the failure of an attempt whose connection delivered the response to another request.
   * It has no HTTP status, since that status says nothing about this request.
   */
  public static AttemptFailure foreignResponse(
      String requestId, List<String> received, int statusOfOther) {
    String message =
        "asked="
            + Identifiers.forLog(requestId)
            + " received="
            + received.stream().limit(MAXIMUM_LOGGED_IDS).map(Identifiers::forLog).toList()
            + " status="
            + statusOfOther;
    return new AttemptFailure(FailureKind.ANSWER_MISMATCH, message, 0, true, false);
  }

  /** Returns whether the attempt received the response to another request. */
  public boolean isForeignResponse() {
    return foreignResponse;
  }

  /** Returns whether the connection was neither made nor refused in time. */
  public boolean isConnectTimeout() {
    return connectTimeout;
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
