package org.masticspread.ctl.measure.slopes;

import java.util.ArrayList;
import java.util.List;

/** A function that measures a cost at a given size. */
@FunctionalInterface
interface Cost {
  /** Returns the cost at a size. */
  double measure(int size) throws Exception;

  /** Measures a cost at each size and fits a line through the values. */
  static SlopeRow row(String slope, String unit, boolean exact, Cost cost, int... sizes) {
    List<Long> measuredSizes = new ArrayList<>();
    List<Double> values = new ArrayList<>();
    for (int size : sizes) {
      measuredSizes.add((long) size);
      values.add(measureAt(slope, cost, size));
    }
    LinearFit fit = LinearFit.of(measuredSizes, values);
    return new SlopeRow(
        slope,
        unit,
        exact,
        measuredSizes,
        values,
        fit.slope(),
        fit.intercept(),
        fit.largestResidual(),
        fit.r2());
  }

  private static double measureAt(String slope, Cost cost, int size) {
    try {
      return cost.measure(size);
    } catch (Exception e) {
      throw new IllegalStateException("slopes: " + slope + " failed at " + size, e);
    }
  }
}
