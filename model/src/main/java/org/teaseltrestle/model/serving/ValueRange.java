package org.teaseltrestle.model.serving;

/**
 * Whole numbers that a value of a configuration may have.
 *
 * @param minimum smallest number
 * @param maximum largest number
 */
public record ValueRange(long minimum, long maximum) {

  /** Range of the version. */
  public static final ValueRange VERSION = new ValueRange(1, Long.MAX_VALUE);

  /** Range of a count that may be 0. */
  public static final ValueRange COUNT = new ValueRange(0, Integer.MAX_VALUE);

  /** Range of a count of which there must be at least one, or of a duration in milliseconds. */
  public static final ValueRange POSITIVE = new ValueRange(1, Integer.MAX_VALUE);

  /** Returns whether a number is in the range. */
  public boolean contains(long value) {
    return value >= minimum && value <= maximum;
  }

  @Override
  public String toString() {
    return minimum + " to " + maximum;
  }
}
