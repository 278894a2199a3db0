package org.teaseltrestle.model;

import java.util.Locale;

/** Reason why a caller's request was refused or ended with an error. */
public enum RefusalCode {
  MALFORMED_REQUEST(400, NotRun.CERTAIN),
  BODY_TOO_LARGE(413, NotRun.CERTAIN, Basis.CALLER_INTERFACE),
  HEADERS_TOO_LARGE(431, NotRun.CERTAIN, Basis.CALLER_INTERFACE),
  BODY_TIMEOUT(408, NotRun.CERTAIN),
  KEY_MISSING(401, NotRun.CERTAIN, Basis.COMMITTED_STATE),
  KEY_MALFORMED(401, NotRun.CERTAIN),
  KEY_UNKNOWN(401, NotRun.CERTAIN, Basis.COMMITTED_STATE),
  KEY_WITHDRAWN(401, NotRun.CERTAIN),
  KEY_LEASE_EXPIRED(503, NotRun.CERTAIN),
  ACCOUNT_WITHOUT_PLAN(403, NotRun.CERTAIN, Basis.COMMITTED_STATE),
  UNKNOWN_MODEL(404, NotRun.CERTAIN, Basis.COMMITTED_STATE),
  UNKNOWN_SERVICE(404, NotRun.CERTAIN, Basis.COMMITTED_STATE),
  UNKNOWN_ROUTE(404, NotRun.CERTAIN, Basis.CALLER_INTERFACE),
  METHOD_NOT_ALLOWED(405, NotRun.CERTAIN),
  NOT_IN_PLAN(403, NotRun.CERTAIN, Basis.COMMITTED_STATE),
  NOT_READY(503, NotRun.CERTAIN),
  CONFIGURATION_OUTDATED(503, NotRun.CERTAIN),
  SHUTTING_DOWN(503, NotRun.CERTAIN),
  RATE_LIMITED(429, NotRun.CERTAIN),
  CONCURRENCY_LIMITED(429, NotRun.CERTAIN),
  QUEUE_FULL(503, NotRun.CERTAIN),
  QUEUE_TIMEOUT(503, NotRun.CERTAIN),
  DEADLINE_UNREACHABLE(503, NotRun.CERTAIN),
  OVERLOAD_SHED(503, NotRun.CERTAIN),
  ADMISSION_RING_FULL(503, NotRun.CERTAIN),
  MEMORY_FULL(503, NotRun.CERTAIN),
  NO_BACKEND_SERVER(503, NotRun.CERTAIN),
  PROMPT_TOO_LONG(400, NotRun.CERTAIN),
  PROMPT_QUARANTINED(503, NotRun.CERTAIN),
  REQUEST_QUARANTINED(503, NotRun.CERTAIN),
  STREAM_ORIGIN_UNKNOWN(503, NotRun.CERTAIN),
  STREAM_VERSION_GONE(503, NotRun.CERTAIN),
  CONTROL_UNREACHABLE(503, NotRun.CERTAIN),
  CONTROL_OVERLOADED(503, NotRun.CERTAIN),
  IDEMPOTENCY_KEY_REUSED(409, NotRun.CERTAIN),
  IDEMPOTENCY_KEY_IN_USE(409, NotRun.UNKNOWN),
  OUTCOME_UNKNOWN(502, NotRun.UNKNOWN),
  BACKEND_UNREACHABLE(502, NotRun.CERTAIN),
  BACKEND_FAILED(502, NotRun.UNKNOWN),
  BACKEND_TIMEOUT(504, NotRun.UNKNOWN),
  ANSWER_CUT(502, NotRun.RUN),
  ANSWER_MISMATCH(502, NotRun.UNKNOWN),
  CALLER_LEFT(499, NotRun.UNKNOWN),
  INTERNAL_ERROR(500, NotRun.UNKNOWN);

  private final int httpStatus;
  private final NotRun notRun;
  private final Basis basis;

  /** What decides whether a request is refused with a code. */
  public enum Basis {
    /** Committed lists, keys or the serving configuration, which may have changed elsewhere. */
    COMMITTED_STATE,
    /** The serving configuration if it defines the caller interface, otherwise this instance. */
    CALLER_INTERFACE,
    /** The request itself, this instance or a backend server. */
    REQUEST_OR_INSTANCE
  }

  RefusalCode(int httpStatus, NotRun notRun) {
    this(httpStatus, notRun, Basis.REQUEST_OR_INSTANCE);
  }

  RefusalCode(int httpStatus, NotRun notRun, Basis basis) {
    this.httpStatus = httpStatus;
    this.notRun = notRun;
    this.basis = basis;
  }

  /** Returns the HTTP status of the error response. */
  public int httpStatus() {
    return httpStatus;
  }

  /** Returns whether a backend server may have run the request. */
  public NotRun notRun() {
    return notRun;
  }

  /** Returns what decides whether a request is refused with this code. */
  public Basis basis() {
    return basis;
  }

  /** Returns the code as used in error bodies and counter names. */
  public String wireName() {
    return name().toLowerCase(Locale.ROOT);
  }
}
