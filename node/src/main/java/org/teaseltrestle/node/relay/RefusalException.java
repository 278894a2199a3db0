package org.teaseltrestle.node.relay;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.TrestleException;

/** Ends a request with a refusal, which {@link RefusalResponse} turns into a response. */
final class RefusalException extends TrestleException {

  private static final long serialVersionUID = 1L;

  private final RefusalCode refusalCode;
  private final NotRun notRun;
  private final @Nullable Duration retryAfter;

  RefusalException(RefusalCode refusalCode, String message) {
    this(refusalCode, refusalCode.notRun(), message, null);
  }

  RefusalException(
      RefusalCode refusalCode, NotRun notRun, String message, @Nullable Duration retryAfter) {
    super(ErrorCode.CLOSED, message);
    this.refusalCode = refusalCode;
    this.notRun = notRun;
    this.retryAfter = retryAfter;
  }

  RefusalCode refusalCode() {
    return refusalCode;
  }

  /** Returns whether the request may have run; can be less certain than the default of the code. */
  NotRun notRun() {
    return notRun;
  }

  @Nullable Duration retryAfter() {
    return retryAfter;
  }
}
