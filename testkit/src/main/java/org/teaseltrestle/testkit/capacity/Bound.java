package org.teaseltrestle.testkit.capacity;

/** Bounds of control overhead per node. */
enum Bound {
  MEMORY(64e6, "64 MB"),
  /** Processor nanoseconds in a second: 3% of a core. */
  PROCESSOR(30e6, "3% of a core"),
  BYTES(10_000, "10 KB/s"),
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

  boolean isMet(double figure) {
    return figure <= limit;
  }
}
