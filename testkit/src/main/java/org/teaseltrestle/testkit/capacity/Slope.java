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
record Slope(String name, String unit, Measurement measurement, int[] sizes, List<Use> uses) {

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
   */
  record Use(String role, String load, double size, double rate, Bound bound) {}
}
