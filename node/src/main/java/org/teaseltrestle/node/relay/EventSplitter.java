package org.teaseltrestle.node.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.ResponseFraming;
import org.teaseltrestle.policy.FailureKind;

/**
 * Splits the bytes of an event stream at complete events and keeps the identifier of the last one.
 * A backend server may fail in the middle of an event, whose incomplete bytes must not be
 * forwarded.
 */
final class EventSplitter {

  /** Longest event; a backend server in trouble may send bytes without end. */
  static final int MAXIMUM_EVENT_BYTES = 1024 * 1024;

  private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.UTF_8);

  private byte[] pending = new byte[0];
  private @Nullable String lastEventId;
  private int identifiedEvents;
  private boolean hasEvents;

  /**
   * Adds bytes and returns those of all events that are now complete, possibly empty.
   *
   * @throws AttemptFailure if an event is longer than {@link #MAXIMUM_EVENT_BYTES}
   */
  byte[] split(byte[] bytes, int length) {
    byte[] joined = Arrays.copyOf(pending, pending.length + length);
    System.arraycopy(bytes, 0, joined, pending.length, length);
    int completeEnd = 0;
    int lineStart = 0;
    for (int i = 0; i < joined.length; i++) {
      if (joined[i] != '\n') {
        continue;
      }
      int lineEnd = i > lineStart && joined[i - 1] == '\r' ? i - 1 : i;
      if (lineEnd == lineStart) {
        recordEventId(joined, completeEnd, i + 1);
        completeEnd = i + 1;
        hasEvents = true;
      }
      lineStart = i + 1;
    }
    pending = Arrays.copyOfRange(joined, completeEnd, joined.length);
    if (pending.length > MAXIMUM_EVENT_BYTES) {
      throw new AttemptFailure(
          FailureKind.LOST_DURING_ANSWER, "event is longer than " + MAXIMUM_EVENT_BYTES + " bytes");
    }
    return completeEnd == 0 ? new byte[0] : Arrays.copyOf(joined, completeEnd);
  }

  /**
   * Checks that the stream may end here. The end of a connection also ends a truncated stream, so
   * one that is framed by its connection must have had an event.
   *
   * @throws AttemptFailure if the stream has been truncated
   */
  void checkEnd(ResponseFraming framing) {
    if (pending.length > 0) {
      throw new AttemptFailure(
          FailureKind.LOST_DURING_ANSWER, "event stream ended within an event");
    }
    if (framing == ResponseFraming.CONNECTION && !hasEvents) {
      throw new AttemptFailure(
          FailureKind.LOST_DURING_ANSWER, "event stream ended before its first event");
    }
  }

  /** Returns the last identifier of a complete event, or null if none had one. */
  @Nullable String lastEventId() {
    return lastEventId;
  }

  /** Returns the number of complete events with an identifier. */
  int identifiedEvents() {
    return identifiedEvents;
  }

  private void recordEventId(byte[] bytes, int from, int to) {
    int lineStart = from;
    for (int i = from; i < to; i++) {
      if (bytes[i] == '\n') {
        if (startsWithId(bytes, lineStart, i)) {
          ByteArrayOutputStream value = new ByteArrayOutputStream();
          value.write(bytes, lineStart + ID_FIELD.length, i - lineStart - ID_FIELD.length);
          lastEventId = value.toString(StandardCharsets.UTF_8).strip();
          identifiedEvents++;
        }
        lineStart = i + 1;
      }
    }
  }

  private static boolean startsWithId(byte[] bytes, int from, int to) {
    return to - from >= ID_FIELD.length
        && Arrays.equals(bytes, from, from + ID_FIELD.length, ID_FIELD, 0, ID_FIELD.length);
  }
}
