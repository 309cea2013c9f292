package org.masticspread.policy.estimate;

import java.util.Arrays;

/**
 * The latest pairs of a declared and a measured amount. Predicts by a quantile of either the
 * measured amounts or their ratios to the declared ones, whichever has varied less. Not
 * thread-safe.
 */
final class SampleWindow {
  static final int CAPACITY = 64;
  private static final int MEDIAN_PERCENT = 50;

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
   * @param declaredAmount the declared amount; 0 when not told
   * @param percent the quantile to take, in percent
   */
  double predict(double declaredAmount, int percent) {
    double[] amounts = Arrays.copyOf(measured, count);
    Arrays.sort(amounts);
    double amount = quantile(amounts, percent);
    if (declaredAmount <= 0) {
      return amount;
    }
    double[] ratios = ratios();
    if (ratios.length < count || spread(amounts, percent) <= spread(ratios, percent)) {
      return amount;
    }
    return quantile(ratios, percent) * declaredAmount;
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

  private static double spread(double[] sorted, int percent) {
    double median = quantile(sorted, MEDIAN_PERCENT);
    return median <= 0 ? Double.POSITIVE_INFINITY : quantile(sorted, percent) / median;
  }

  private static double quantile(double[] sorted, int percent) {
    int index = (sorted.length * percent + 99) / 100 - 1;
    return sorted[Math.max(0, Math.min(sorted.length - 1, index))];
  }
}
