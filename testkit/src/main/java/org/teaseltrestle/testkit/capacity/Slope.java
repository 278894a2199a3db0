package org.teaseltrestle.testkit.capacity;

import java.util.List;

/**
 * A quantity whose growth with a size is measured and projected to the target load.
 *
 * @param name quantity and what it grows with
 * @param unit unit of the growth per unit of size
 * @param measurement measurement of the quantity at a size
 * @param sizes measured sizes, ascending
 * @param projections projections to the load of each role
 */
record Slope(
    String name,
    String unit,
    Measurement measurement,
    List<Integer> sizes,
    List<Projection> projections) {

  /** Measures the quantity at one size. */
  @FunctionalInterface
  interface Measurement {
    double at(int size) throws Exception;
  }

  /**
   * Projection of a slope to the load of a node's role.
   *
   * @param role role of the node
   * @param load size and rate, described in words
   * @param size size at the target load
   * @param rate factor on the value, such as the number of messages per second
   * @param bound bound that the projected value must meet
   * @param basis whether the projected value includes the value at size 0
   */
  record Projection(String role, String load, double size, double rate, Bound bound, Basis basis) {

    Projection(String role, String load, double size, double rate, Bound bound) {
      this(role, load, size, rate, bound, Basis.WITH_INTERCEPT);
    }

    /** Returns a projection to a rate of events; it excludes the fixed cost at size 0. */
    static Projection events(String role, String load, double perSecond, Bound bound) {
      return new Projection(role, load, perSecond, 1, bound, Basis.SLOPE_ONLY);
    }

    double projectedValue(LinearFit fit) {
      return rate * (basis == Basis.WITH_INTERCEPT ? fit.at(size) : fit.slope() * size);
    }
  }

  /** Whether a projected value includes the value at size 0. */
  enum Basis {
    /** Includes the value at size 0. */
    WITH_INTERCEPT,
    /** Excludes the value at size 0. */
    SLOPE_ONLY
  }
}
