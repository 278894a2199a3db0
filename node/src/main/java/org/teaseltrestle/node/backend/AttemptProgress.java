package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.io.InterruptedIOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.net.SocketTimeoutException;
import java.time.Duration;
import okhttp3.Call;
import okhttp3.Connection;
import okhttp3.EventListener;
import okhttp3.Protocol;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.AttemptHandle;
import org.teaseltrestle.policy.FailureKind;

/** Records how far an attempt got, which determines the kind of its failure. */
final class AttemptProgress extends EventListener {

  static final EventListener.Factory LISTENER_FACTORY =
      call -> {
        AttemptProgress progress = call.request().tag(AttemptProgress.class);
        return progress == null ? new AttemptProgress(new AttemptHandle()) : progress;
      };

  /** Callers that cancel at a deadline of their own need no other bound for the head. */
  private static final Duration DEFAULT_HEAD_TIMEOUT = Duration.ofHours(1);

  private final AttemptHandle handle;
  private final Duration headTimeout;
  private final @Nullable Runnable onArrival;
  private volatile @Nullable BoundedSocket socket;
  private volatile boolean requestMayHaveBeenSent;
  private volatile boolean responseStarted;

  AttemptProgress(AttemptHandle handle) {
    this(handle, DEFAULT_HEAD_TIMEOUT);
  }

  /**
   * Creates the progress of an attempt.
   *
   * @param headTimeout time from the connection until the head of the response must be complete
   */
  AttemptProgress(AttemptHandle handle, Duration headTimeout) {
    this(handle, headTimeout, null);
  }

  private AttemptProgress(
      AttemptHandle handle, Duration headTimeout, @Nullable Runnable onArrival) {
    this.handle = handle;
    this.headTimeout = headTimeout;
    this.onArrival = onArrival;
  }

  /**
   * Returns the progress of an attempt.
   *
   * @param onArrival called when the connection is made and whenever bytes of the server arrive
   */
  static AttemptProgress reportingArrivals(AttemptHandle handle, Runnable onArrival) {
    return new AttemptProgress(handle, DEFAULT_HEAD_TIMEOUT, onArrival);
  }

  @Override
  public void connectEnd(
      Call call, InetSocketAddress address, Proxy proxy, @Nullable Protocol protocol) {
    Runnable listener = onArrival;
    if (listener != null) {
      listener.run();
    }
  }

  @Override
  public void connectionAcquired(Call call, Connection connection) {
    if (connection.socket() instanceof BoundedSocket acquired) {
      acquired.startResponse(headTimeout);
      acquired.setOnArrival(onArrival);
      socket = acquired;
    }
  }

  @Override
  public void requestHeadersStart(Call call) {
    requestMayHaveBeenSent = true;
  }

  @Override
  public void responseHeadersEnd(Call call, Response response) {
    responseStarted = true;
    BoundedSocket current = socket;
    if (current != null) {
      current.headReceived();
    }
  }

  /** Records that bytes of the response body were read. */
  void bodyDelivered() {
    BoundedSocket current = socket;
    if (current != null) {
      current.bodyDelivered();
    }
  }

  /** Converts an I/O error to the failure of the attempt. */
  AttemptFailure failure(IOException cause) {
    FailureKind kind = kindOf(cause);
    if (kind == FailureKind.CONNECT_FAILED && cause instanceof SocketTimeoutException) {
      return AttemptFailure.connectTimeout("attempt failed: " + cause);
    }
    return new AttemptFailure(kind, "attempt failed: " + cause);
  }

  private FailureKind kindOf(IOException cause) {
    if (!requestMayHaveBeenSent || cause instanceof BoundedSocket.EarlyResponseException) {
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
    if (cause instanceof MalformedResponseException) {
      return FailureKind.MALFORMED_ANSWER;
    }
    return responseStarted ? FailureKind.LOST_DURING_ANSWER : FailureKind.LOST_BEFORE_ANSWER;
  }
}
