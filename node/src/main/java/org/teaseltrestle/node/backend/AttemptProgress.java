package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.io.InterruptedIOException;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.Response;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.policy.FailureKind;

/** Records how far an attempt got, which determines the kind of its failure. */
final class AttemptProgress extends EventListener {

  static final EventListener.Factory LISTENER_FACTORY =
      call -> {
        AttemptProgress progress = call.request().tag(AttemptProgress.class);
        return progress == null ? EventListener.NONE : progress;
      };

  private final AttemptHandle handle;
  private volatile boolean requestMayHaveBeenSent;
  private volatile boolean responseStarted;

  AttemptProgress(AttemptHandle handle) {
    this.handle = handle;
  }

  @Override
  public void requestHeadersStart(Call call) {
    requestMayHaveBeenSent = true;
  }

  @Override
  public void responseHeadersEnd(Call call, Response response) {
    responseStarted = true;
  }

  /** Converts an I/O error to the failure of the attempt. */
  AttemptFailure failure(IOException cause) {
    FailureKind kind = kindOf(cause);
    return new AttemptFailure(kind, "attempt failed: " + cause.getClass().getSimpleName());
  }

  private FailureKind kindOf(IOException cause) {
    if (!requestMayHaveBeenSent) {
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
    // OkHttp throws this for the timeout of a read as well as for that of a complete call.
    if (cause instanceof InterruptedIOException) {
      return FailureKind.TIMED_OUT;
    }
    return responseStarted ? FailureKind.LOST_DURING_ANSWER : FailureKind.LOST_BEFORE_ANSWER;
  }
}
