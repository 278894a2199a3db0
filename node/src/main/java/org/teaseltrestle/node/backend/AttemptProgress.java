package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.io.InterruptedIOException;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Response;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.policy.FailureKind;

/** How far one attempt came, from which the kind of its failure follows. */
final class AttemptProgress extends EventListener {

  static final EventListener.Factory LISTENERS =
      call -> {
        AttemptProgress progress = call.request().tag(AttemptProgress.class);
        return progress == null ? EventListener.NONE : progress;
      };

  private final AttemptHandle handle;
  private volatile boolean byteMayHaveLeft;
  private volatile boolean answerBegan;

  AttemptProgress(AttemptHandle handle) {
    this.handle = handle;
  }

  @Override
  public void requestHeadersStart(Call call) {
    byteMayHaveLeft = true;
  }

  @Override
  public void responseHeadersEnd(Call call, Response response) {
    answerBegan = true;
  }

  /** Turns an I/O error into the failure of the attempt. */
  AttemptFailure failure(IOException cause) {
    // Both the wait for one read and that for a whole call end with this kind of exception.
    FailureKind kind = kindOf(cause);
    return new AttemptFailure(kind, "attempt failed: " + cause.getClass().getSimpleName());
  }

  private FailureKind kindOf(IOException cause) {
    if (!byteMayHaveLeft) {
      return handle.isCancelled() && !handle.isExpired()
          ? FailureKind.CANCELLED
          : FailureKind.CONNECT_FAILED;
    }
    if (handle.isExpired()) {
      return FailureKind.TIMED_OUT;
    }
    if (handle.isCancelled()) {
      return FailureKind.CANCELLED;
    }
    if (cause instanceof InterruptedIOException) {
      return FailureKind.TIMED_OUT;
    }
    return answerBegan ? FailureKind.LOST_DURING_ANSWER : FailureKind.LOST_BEFORE_ANSWER;
  }
}
