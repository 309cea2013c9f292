package org.masticspread.policy.estimate;

import java.util.Arrays;

/**
 * A sliding window of pairs of a declared and a measured amount. Predicts amounts by a percentile
 * of the measured amounts or of their ratios to the declared ones, whichever varies less. Not
 * thread-safe.
 */
final class SampleWindow {
  static final int CAPACITY = 64;
  private static final int MEDIAN_PERCENTILE = 50;

  private final double[] declared = new double[CAPACITY];
  private final double[] measured = new double[CAPACITY];
  private int count;
  private int next;

  void add(double declaredAmount, double measuredAmount) {
    declared[next] = declaredAmount;
    measured[next] = measuredAmount;
    next = (next + 1) % CAPACITY;
    count = Math.min(count + 1, CAPACITY);
  }

  int count() {
    return count;
  }

  /**
   * Predicts an amount.
   *
   * @param declaredAmount the declared amount; 0 if unspecified
   * @param percentile the percentile to use, from 1 to 100
   */
  double predict(double declaredAmount, int percentile) {
    double[] amounts = Arrays.copyOf(measured, count);
    Arrays.sort(amounts);
    double amount = percentileOf(amounts, percentile);
    if (declaredAmount <= 0) {
      return amount;
    }
    double[] ratios = ratios();
    if (ratios.length < count || spread(amounts, percentile) <= spread(ratios, percentile)) {
      return amount;
    }
    return percentileOf(ratios, percentile) * declaredAmount;
  }

  private double[] ratios() {
    double[] ratios = new double[count];
    int used = 0;
    for (int i = 0; i < count; i++) {
      if (declared[i] > 0) {
        ratios[used] = measured[i] / declared[i];
        used++;
      }
    }
    double[] sorted = Arrays.copyOf(ratios, used);
    Arrays.sort(sorted);
    return sorted;
  }

  private static double spread(double[] sorted, int percentile) {
    double median = percentileOf(sorted, MEDIAN_PERCENTILE);
    return median <= 0 ? Double.POSITIVE_INFINITY : percentileOf(sorted, percentile) / median;
  }

  private static double percentileOf(double[] sorted, int percentile) {
    int index = (sorted.length * percentile + 99) / 100 - 1;
    return sorted[Math.max(0, Math.min(sorted.length - 1, index))];
  }
}
