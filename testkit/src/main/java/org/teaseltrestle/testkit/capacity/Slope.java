package org.teaseltrestle.testkit.capacity;

import java.util.List;

/**
 * One slope to be measured.
 *
 * @param name what grows
 * @param unit unit of the slope
 * @param measurement value at a size
 * @param sizes sizes to be measured, ascending
 * @param uses what the slope means for the roles
 */
record Slope(
    String name, String unit, Measurement measurement, List<Integer> sizes, List<Use> uses) {

  /** Measures the value at one size. */
  @FunctionalInterface
  interface Measurement {
    double at(int size) throws Exception;
  }

  /**
   * Figure of one role that follows from a slope.
   *
   * @param role role of the node
   * @param load size and rate in words
   * @param size size at the target
   * @param rate factor on the value, times a second for rates
   * @param bound bound that the figure is judged by
   * @param basis whether the figure contains the value at size 0
   */
  record Use(String role, String load, double size, double rate, Bound bound, Basis basis) {

    Use(String role, String load, double size, double rate, Bound bound) {
      this(role, load, size, rate, bound, Basis.LINE);
    }

    /** Returns a use of so many events a second, which have no share in the value at size 0. */
    static Use events(String role, String load, double perSecond, Bound bound) {
      return new Use(role, load, perSecond, 1, bound, Basis.SLOPE);
    }

    double figure(LinearFit fit) {
      return rate * (basis == Basis.LINE ? fit.at(size) : fit.slope() * size);
    }
  }

  /** Whether a figure contains the value at size 0. */
  enum Basis {
    LINE,
    SLOPE
  }
}
