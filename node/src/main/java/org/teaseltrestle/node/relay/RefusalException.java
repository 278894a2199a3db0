package org.teaseltrestle.node.relay;

import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.TrestleException;

/** Ends a request with a refusal; becomes the answer in {@link RefusalAnswer}. */
final class RefusalException extends TrestleException {

  private static final long serialVersionUID = 1L;

  private final RefusalCode refusal;
  private final NotRun notRun;
  private final @Nullable Duration retryAfter;

  RefusalException(RefusalCode refusal, String message) {
    this(refusal, refusal.notRun(), message, null);
  }

  RefusalException(
      RefusalCode refusal, NotRun notRun, String message, @Nullable Duration retryAfter) {
    super(ErrorCode.CLOSED, message);
    this.refusal = refusal;
    this.notRun = notRun;
    this.retryAfter = retryAfter;
  }

  RefusalCode refusal() {
    return refusal;
  }

  /** Returns what is known of this request, which may be less certain than the code's default. */
  NotRun notRun() {
    return notRun;
  }

  @Nullable Duration retryAfter() {
    return retryAfter;
  }
}
