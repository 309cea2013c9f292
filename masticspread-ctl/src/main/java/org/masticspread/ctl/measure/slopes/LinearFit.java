package org.masticspread.ctl.measure.slopes;

import java.util.List;
import java.util.stream.IntStream;

/**
 * A line fitted by least squares.
 *
 * @param slope the slope
 * @param intercept the value at zero
 * @param largestResidual the largest absolute difference between a value and the line
 * @param r2 the fraction of the variance that the line explains; 1 if all values are equal
 */
record LinearFit(double slope, double intercept, double largestResidual, double r2) {
  private static final int MIN_SIZES = 3;

  /** Fits a line through the points, which must have at least three different sizes. */
  static LinearFit of(List<Long> sizes, List<Double> values) {
    if (sizes.size() != values.size() || sizes.stream().distinct().count() < MIN_SIZES) {
      throw new IllegalArgumentException("slopes: three or more sizes are needed, not " + sizes);
    }
    double meanX = sizes.stream().mapToLong(Long::longValue).average().orElseThrow();
    double meanY = values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    double varianceX = 0;
    double varianceY = 0;
    double covariance = 0;
    for (int i = 0; i < sizes.size(); i++) {
      double x = sizes.get(i) - meanX;
      double y = values.get(i) - meanY;
      varianceX += x * x;
      varianceY += y * y;
      covariance += x * y;
    }
    double slope = covariance / varianceX;
    double intercept = meanY - slope * meanX;
    double[] residuals =
        IntStream.range(0, sizes.size())
            .mapToDouble(i -> values.get(i) - intercept - slope * sizes.get(i))
            .toArray();
    double largest =
        IntStream.range(0, residuals.length)
            .mapToDouble(i -> Math.abs(residuals[i]))
            .max()
            .orElse(0);
    double squaredResidualSum =
        IntStream.range(0, residuals.length).mapToDouble(i -> residuals[i] * residuals[i]).sum();
    return new LinearFit(
        slope, intercept, largest, varianceY == 0 ? 1 : 1 - squaredResidualSum / varianceY);
  }
}
