package org.teaseltrestle.testkit.capacity;

/** Limits of the control-plane overhead of a node. */
enum Bound {
  /** Retained heap in bytes. */
  MEMORY(64e6, "64 MB"),
  /** Processor time in nanoseconds per second: 3% of a core. */
  PROCESSOR(30e6, "3% of a core"),
  /** Network traffic in bytes per second. */
  BYTES(10_000, "10 KB/s"),
  /** Reported without a limit. */
  NONE(Double.POSITIVE_INFINITY, "none");

  private final double limit;
  private final String text;

  Bound(double limit, String text) {
    this.limit = limit;
    this.text = text;
  }

  String text() {
    return text;
  }

  boolean isMet(double value) {
    return value <= limit;
  }
}
