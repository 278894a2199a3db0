package org.teaseltrestle.node.relay;

import java.io.ByteArrayOutputStream;
import java.math.BigInteger;
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
  private static final byte[] DATA_FIELD = "data".getBytes(StandardCharsets.UTF_8);

  private final @Nullable String previousEventId;
  private byte[] pending = new byte[0];
  private @Nullable String lastEventId;
  private int identifiedEvents;
  private boolean hasEvents;
  private boolean endsIdentified = true;

  /** Creates a splitter for a whole stream. */
  EventSplitter() {
    this(null);
  }

  /** Creates a splitter for a stream that must continue after an event, unless it is null. */
  EventSplitter(@Nullable String previousEventId) {
    this.previousEventId = previousEventId;
  }

  /**
   * Adds bytes and returns those of all events that are now complete, possibly empty.
   *
   * @throws AttemptFailure if an event is longer than {@link #MAXIMUM_EVENT_BYTES}, or if the first
   *     one does not follow the event after which the stream must continue
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

  /** Returns whether the stream can be resumed: its last event with data has an identifier. */
  boolean endsIdentified() {
    return endsIdentified;
  }

  private void recordEventId(byte[] bytes, int from, int to) {
    int lineStart = from;
    int identifiedBefore = identifiedEvents;
    boolean hasData = false;
    for (int i = from; i < to; i++) {
      if (bytes[i] == '\n') {
        hasData |= startsWith(DATA_FIELD, bytes, lineStart, i);
        if (startsWith(ID_FIELD, bytes, lineStart, i)) {
          ByteArrayOutputStream value = new ByteArrayOutputStream();
          value.write(bytes, lineStart + ID_FIELD.length, i - lineStart - ID_FIELD.length);
          lastEventId = value.toString(StandardCharsets.UTF_8).strip();
          checkFollows(lastEventId);
          identifiedEvents++;
        }
        lineStart = i + 1;
      }
    }
    boolean identified = identifiedEvents > identifiedBefore;
    endsIdentified = identified || (endsIdentified && !hasData);
  }

  /** Checks that the first event follows the previous one; identifiers are increasing numbers. */
  private void checkFollows(String eventId) {
    if (identifiedEvents > 0 || previousEventId == null) {
      return;
    }
    boolean numbers = isNumber(eventId) && isNumber(previousEventId);
    if (numbers ? !isGreater(eventId, previousEventId) : eventId.equals(previousEventId)) {
      throw new AttemptFailure(
          FailureKind.ANSWER_MISMATCH,
          "stream continues with event " + eventId + " after event " + previousEventId);
    }
  }

  private static boolean isNumber(String text) {
    return !text.isEmpty() && text.chars().allMatch(digit -> digit >= '0' && digit <= '9');
  }

  private static boolean isGreater(String number, String other) {
    return new BigInteger(number).compareTo(new BigInteger(other)) > 0;
  }

  private static boolean startsWith(byte[] field, byte[] bytes, int from, int to) {
    return to - from >= field.length
        && Arrays.equals(bytes, from, from + field.length, field, 0, field.length);
  }
}
