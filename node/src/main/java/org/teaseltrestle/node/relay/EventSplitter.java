package org.teaseltrestle.node.relay;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Cuts the bytes of an event stream after whole events and keeps the identifier of the last one. A
 * backend server may stop in the middle of an event; what is left of it is not passed on.
 */
final class EventSplitter {

  private static final byte[] ID = "id:".getBytes(StandardCharsets.UTF_8);

  private byte[] held = new byte[0];
  private @Nullable String lastId;
  private int events;

  /** Takes bytes and returns those of the events that are whole now; empty if there are none. */
  byte[] take(byte[] bytes, int length) {
    byte[] all = Arrays.copyOf(held, held.length + length);
    System.arraycopy(bytes, 0, all, held.length, length);
    int whole = 0;
    int lineStart = 0;
    for (int i = 0; i < all.length; i++) {
      if (all[i] != '\n') {
        continue;
      }
      int lineEnd = i > lineStart && all[i - 1] == '\r' ? i - 1 : i;
      if (lineEnd == lineStart) {
        noteEvent(all, whole, i + 1);
        whole = i + 1;
      }
      lineStart = i + 1;
    }
    held = Arrays.copyOfRange(all, whole, all.length);
    return whole == 0 ? new byte[0] : Arrays.copyOf(all, whole);
  }

  /** Returns the bytes after the last whole event. */
  byte[] rest() {
    return held;
  }

  /** Returns the identifier of the last whole event, or null if none had one. */
  @Nullable String lastId() {
    return lastId;
  }

  /** Returns the number of whole events with an identifier. */
  int events() {
    return events;
  }

  private void noteEvent(byte[] bytes, int from, int to) {
    int lineStart = from;
    for (int i = from; i < to; i++) {
      if (bytes[i] == '\n') {
        if (startsWithId(bytes, lineStart, i)) {
          ByteArrayOutputStream value = new ByteArrayOutputStream();
          value.write(bytes, lineStart + ID.length, i - lineStart - ID.length);
          lastId = value.toString(StandardCharsets.UTF_8).strip();
          events++;
        }
        lineStart = i + 1;
      }
    }
  }

  private static boolean startsWithId(byte[] bytes, int from, int to) {
    return to - from >= ID.length && Arrays.equals(bytes, from, from + ID.length, ID, 0, ID.length);
  }
}
