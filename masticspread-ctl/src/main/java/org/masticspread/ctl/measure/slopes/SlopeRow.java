package org.masticspread.ctl.measure.slopes;

import java.util.List;

/**
 * A cost that was measured at several sizes, with its line of least squares.
 *
 * @param slope what costs
 * @param unit the unit of the values, and of what the sizes count
 * @param exact whether each run gives the same values
 * @param sizes the sizes
 * @param values the cost at each size
 * @param perUnit the slope of the line
 * @param intercept the cost of the line at size zero
 * @param largestResidual the largest distance of a value from the line
 * @param r2 the part of the variance that the line explains
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
