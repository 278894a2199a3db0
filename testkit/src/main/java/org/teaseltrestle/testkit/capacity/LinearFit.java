package org.teaseltrestle.testkit.capacity;

/**
 * Least-squares line through measured points.
 *
 * @param slope growth per unit of size
 * @param intercept value at size 0
 * @param relativeError root mean square of the residuals divided by the mean of the values
 */
public record LinearFit(double slope, double intercept, double relativeError) {

  private static final int MINIMUM_POINTS = 3;

  /**
   * Fits a line.
   *
   * @throws IllegalArgumentException if there are fewer than three points or all sizes are equal
   */
  public static LinearFit of(double[] sizes, double[] values) {
    if (sizes.length < MINIMUM_POINTS || sizes.length != values.length) {
      throw new IllegalArgumentException("a linear fit needs at least three points");
    }
    double meanSize = mean(sizes);
    double meanValue = mean(values);
    double covariance = 0;
    double variance = 0;
    for (int i = 0; i < sizes.length; i++) {
      covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
      variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
    }
    if (variance == 0) {
      throw new IllegalArgumentException("a linear fit needs different sizes");
    }
    double slope = covariance / variance;
    double intercept = meanValue - slope * meanSize;
    double squaredResiduals = 0;
    for (int i = 0; i < sizes.length; i++) {
      double residual = values[i] - intercept - slope * sizes[i];
      squaredResiduals += residual * residual;
    }
    double error = Math.sqrt(squaredResiduals / sizes.length) / Math.max(Math.abs(meanValue), 1e-9);
    return new LinearFit(slope, intercept, error);
  }

  /** Returns the value of the line at a size, at least 0. */
  public double at(double size) {
    return Math.max(0, intercept + slope * size);
  }

  private static double mean(double[] values) {
    double sum = 0;
    for (double value : values) {
      sum += value;
    }
    return sum / values.length;
  }
}
