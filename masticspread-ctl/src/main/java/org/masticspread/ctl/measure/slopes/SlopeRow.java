package org.masticspread.ctl.measure.slopes;

import java.util.List;

/**
 * A cost measured at several sizes, with a line fitted by least squares.
 *
 * @param slope the name of the cost
 * @param unit the unit of the values and of the sizes
 * @param exact whether all runs give the same values
 * @param sizes the sizes
 * @param values the cost at each size
 * @param perUnit the slope of the line
 * @param intercept the value of the line at size zero
 * @param largestResidual the largest absolute difference between a value and the line
 * @param r2 the fraction of the variance that the line explains
 */
public record SlopeRow(
    String slope,
    String unit,
    boolean exact,
    List<Long> sizes,
    List<Double> values,
    double perUnit,
    double intercept,
    double largestResidual,
    double r2) {
  /** Copies the lists. */
  public SlopeRow {
    sizes = List.copyOf(sizes);
    values = List.copyOf(values);
  }
}
