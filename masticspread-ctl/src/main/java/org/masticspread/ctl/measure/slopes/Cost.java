package org.masticspread.ctl.measure.slopes;

import java.util.ArrayList;
import java.util.List;

/** What something costs at one size. */
@FunctionalInterface
interface Cost {
  /** Measures the cost at a size. */
  double at(int size) throws Exception;

  /** Measures a cost at each size and fits a line. */
  static SlopeRow row(String slope, String unit, boolean exact, Cost cost, int... sizes) {
    List<Long> at = new ArrayList<>();
    List<Double> values = new ArrayList<>();
    for (int size : sizes) {
      at.add((long) size);
      values.add(measured(slope, cost, size));
    }
    LinearFit fit = LinearFit.of(at, values);
    return new SlopeRow(
        slope,
        unit,
        exact,
        at,
        values,
        fit.slope(),
        fit.intercept(),
        fit.largestResidual(),
        fit.r2());
  }

  private static double measured(String slope, Cost cost, int size) {
    try {
      return cost.at(size);
    } catch (Exception e) {
      throw new IllegalStateException("slopes: " + slope + " failed at " + size, e);
    }
  }
}
