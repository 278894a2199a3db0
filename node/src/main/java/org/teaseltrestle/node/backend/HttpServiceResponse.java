package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.BufferedSource;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ResponseFraming;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.FailureKind;

/** Response of a plain service, read from its connection. */
final class HttpServiceResponse implements ServiceResponse {

  /** Bytes that must arrive within each timeout, unless the response ends before. */
  private static final int MINIMUM_PROGRESS_BYTES = 1024;

  private final Response response;
  private final AttemptProgress progress;
  private final Duration timeout;
  private int bytesSinceDeadlineSet = MINIMUM_PROGRESS_BYTES;

  HttpServiceResponse(Response response, AttemptProgress progress, Duration timeout) {
    this.response = response;
    this.progress = progress;
    this.timeout = timeout;
  }

  @Override
  public int status() {
    return response.code();
  }

  @Override
  public List<HeaderField> headers() {
    List<HeaderField> fields = new ArrayList<>();
    response
        .headers()
        .forEach(
            field -> {
              boolean hidden = field.getFirst().equals(BackendHttp.HIDDEN_RETRY_AFTER);
              fields.add(
                  new HeaderField(hidden ? "Retry-After" : field.getFirst(), field.getSecond()));
            });
    return fields;
  }

  @Override
  public ResponseFraming framing() {
    return ResponseFramings.of(response);
  }

  @Override
  public int read(byte[] buffer) {
    ResponseBody body = response.body();
    if (body == null) {
      return -1;
    }
    if (framing() == ResponseFraming.CONNECTION && !isEventStream()) {
      throw new AttemptFailure(
          FailureKind.LOST_DURING_ANSWER,
          "response has no length, so a truncation could not be detected");
    }
    try {
      return readWithDeadline(body.source(), buffer);
    } catch (IOException e) {
      throw progress.failure(e);
    }
  }

  @Override
  public void close() {
    response.close();
  }

  /** Reads with a deadline that moves only with progress, so a stalled response ends. */
  private int readWithDeadline(BufferedSource source, byte[] buffer) throws IOException {
    if (bytesSinceDeadlineSet >= MINIMUM_PROGRESS_BYTES) {
      source.timeout().deadline(timeout.toNanos(), TimeUnit.NANOSECONDS);
      bytesSinceDeadlineSet = 0;
    }
    int count = source.read(buffer);
    bytesSinceDeadlineSet += Math.max(0, count);
    progress.bodyDelivered();
    return count;
  }
}
