package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.BufferedSource;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.EngineStream;
import org.teaseltrestle.policy.FailureKind;

/** Reads the server-sent events of one engine response. */
final class EventStreamReader implements EngineStream {

  private static final int MAXIMUM_EVENT_BYTES = 64 * 1024;
  private static final String DATA_FIELD = "data:";

  private final Response response;
  private final BufferedSource source;
  private final AttemptProgress progress;

  EventStreamReader(Response response, ResponseBody body, AttemptProgress progress) {
    this.response = response;
    this.source = body.source();
    this.progress = progress;
  }

  @Override
  public @Nullable String next(Duration timeout) {
    // A deadline, since a read timeout would start again with every byte of a stalled engine.
    source.timeout().deadline(timeout.toNanos(), TimeUnit.NANOSECONDS);
    try {
      return nextData();
    } catch (IOException e) {
      throw progress.failure(e);
    }
  }

  @Override
  public boolean hasBufferedData() {
    return source.getBuffer().size() > 1;
  }

  @Override
  public void close() {
    response.close();
  }

  private @Nullable String nextData() throws IOException {
    StringBuilder data = null;
    while (!source.exhausted()) {
      String line = source.readUtf8LineStrict(MAXIMUM_EVENT_BYTES);
      progress.bodyDelivered();
      if (line.isEmpty() && data != null) {
        return data.toString();
      }
      if (line.startsWith(DATA_FIELD)) {
        String value = line.substring(line.startsWith(" ", DATA_FIELD.length()) ? 6 : 5);
        data = data == null ? new StringBuilder(value) : data.append('\n').append(value);
        if (data.length() > MAXIMUM_EVENT_BYTES) {
          throw new AttemptFailure(
              FailureKind.LOST_DURING_ANSWER,
              "event is longer than " + MAXIMUM_EVENT_BYTES + " bytes");
        }
      }
    }
    if (data != null) {
      throw new AttemptFailure(
          FailureKind.LOST_DURING_ANSWER, "event stream ended within an event");
    }
    return null;
  }
}
