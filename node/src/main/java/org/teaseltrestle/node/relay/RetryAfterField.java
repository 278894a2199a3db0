package org.teaseltrestle.node.relay;

import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.Optional;

/** Reads the header field {@code Retry-After}: seconds, which may have a fraction, or a date. */
final class RetryAfterField {

  /** A server may not keep this instance away for longer with one response. */
  static final Duration LONGEST = Duration.ofMinutes(1);

  private static final double NANOS_PER_SECOND = 1e9;

  private RetryAfterField() {}

  /**
   * Returns the delay that a field asks for, at most {@link #LONGEST}; empty if it cannot be read,
   * and if it is not above zero.
   *
   * @param nowMillis milliseconds since 1970
   */
  static Optional<Duration> parse(String value, long nowMillis) {
    String text = value.strip();
    Duration delay =
        text.isEmpty() || Character.isLetter(text.charAt(0))
            ? untilDate(text, nowMillis)
            : seconds(text);
    if (delay.isZero() || delay.isNegative()) {
      return Optional.empty();
    }
    return Optional.of(delay.compareTo(LONGEST) > 0 ? LONGEST : delay);
  }

  private static Duration seconds(String text) {
    try {
      double seconds = Math.min(Double.parseDouble(text), LONGEST.toSeconds());
      return Double.isNaN(seconds)
          ? Duration.ZERO
          : Duration.ofNanos((long) (Math.max(0, seconds) * NANOS_PER_SECOND));
    } catch (NumberFormatException e) {
      return Duration.ZERO;
    }
  }

  private static Duration untilDate(String text, long nowMillis) {
    try {
      Instant date = Instant.from(DateTimeFormatter.RFC_1123_DATE_TIME.parse(text));
      return Duration.between(Instant.ofEpochMilli(nowMillis), date);
    } catch (DateTimeException e) {
      return Duration.ZERO;
    }
  }
}
