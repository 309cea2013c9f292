package org.masticspread.cell.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * An estimator that learns the speed of each worker and the accuracy of each queue's run time
 * estimates from successful runs. The expected run time is a linear regression of the logarithm of
 * actual run times on the logarithm of estimates, so that it stays near the mean of the queue if
 * its estimates are rough.
 */
public final class SpeedEstimator {
  /** Weight of a new run of a worker; the moving average covers about ten runs. */
  private static final double WORKER_WEIGHT = 0.12;

  /**
   * Limit for the logarithm of a single run's slowdown; a larger one says more about the task than
   * about the worker.
   */
  private static final double MAX_LOG_RATIO = 1.5;

  private final Map<String, Double> logSlowdowns = new HashMap<>();

  /** Speeds derived from the logarithms, cached because placement reads them frequently. */
  private final Map<String, Double> speeds = new HashMap<>();

  private long version;

  private final Map<String, Regression> regressions = new HashMap<>();

  /**
   * Records a successful run.
   *
   * @param queue the queue of the task
   * @param worker the worker
   * @param estimateMillis the estimate including known slowdowns; a run with an estimate of 0 is
   *     ignored
   * @param tookMillis the actual run time
   */
  public void recordRun(String queue, String worker, double estimateMillis, double tookMillis) {
    if (estimateMillis <= 0 || tookMillis <= 0) {
      return;
    }
    double logSlowdown = logSlowdowns.getOrDefault(worker, 0.0);
    double actualLog = Math.log(tookMillis);
    Regression regression = regressions.computeIfAbsent(queue, name -> new Regression());
    double expectedLog = regression.predict(Math.log(estimateMillis));
    setLogSlowdown(
        worker, logSlowdown + WORKER_WEIGHT * (clamp(actualLog - expectedLog) - logSlowdown));
    regression.add(Math.log(estimateMillis), actualLog - logSlowdown);
  }

  /**
   * Caps the speed of a worker when a run takes longer than expected, before the run ends.
   *
   * @param worker the worker
   * @param speed the maximum speed that the run so far allows
   */
  public void capSpeed(String worker, double speed) {
    double log = clamp(-Math.log(speed));
    setLogSlowdown(worker, Math.max(log, logSlowdowns.getOrDefault(worker, log)));
  }

  private void setLogSlowdown(String worker, double log) {
    logSlowdowns.put(worker, log);
    speeds.put(worker, Math.exp(-log));
    version++;
  }

  /**
   * Forgets a worker, since its next incarnation may have another speed.
   *
   * @param worker the worker
   */
  public void forget(String worker) {
    logSlowdowns.remove(worker);
    speeds.remove(worker);
    version++;
  }

  /**
   * Returns the learned speed of a worker.
   *
   * @param worker the worker
   * @return the speed; 1 if tasks take as long as estimated, or if nothing is known
   */
  public double speed(String worker) {
    return speeds.getOrDefault(worker, 1.0);
  }

  /**
   * Returns a version that increases with each change of a speed, so that callers can cache speeds.
   *
   * @return the number of changes so far
   */
  public long version() {
    return version;
  }

  /**
   * Returns the expected run time of a task on a worker of speed 1.
   *
   * @param queue the queue of the task
   * @param estimateMillis the estimate of the task
   * @return the time in ms; the estimate if nothing is known
   */
  public double expectedMillis(String queue, double estimateMillis) {
    Regression regression = regressions.get(queue);
    if (regression == null || estimateMillis <= 0) {
      return estimateMillis;
    }
    return Math.exp(regression.predict(Math.log(estimateMillis)));
  }

  private static double clamp(double log) {
    return Math.max(-MAX_LOG_RATIO, Math.min(MAX_LOG_RATIO, log));
  }

  /** A linear regression with exponentially decaying points; it starts as the identity function. */
  private static final class Regression {
    /** Decay of earlier points for each new one; the regression covers some hundred runs. */
    private static final double DECAY = 0.995;

    /** Number of initial points that state that estimates are accurate. */
    private static final double PRIOR_POINTS = 4;

    /**
     * Variance of the initial points, of the logarithm; it corresponds to a factor of 2 either way.
     */
    private static final double PRIOR_VARIANCE = 0.5;

    private double count;
    private double sumX;
    private double sumY;
    private double sumXx;
    private double sumXy;

    void add(double x, double y) {
      if (count == 0) {
        count = PRIOR_POINTS;
        sumX = PRIOR_POINTS * x;
        sumY = PRIOR_POINTS * x;
        sumXx = PRIOR_POINTS * (x * x + PRIOR_VARIANCE);
        sumXy = sumXx;
      }
      count = DECAY * count + 1;
      sumX = DECAY * sumX + x;
      sumY = DECAY * sumY + y;
      sumXx = DECAY * sumXx + x * x;
      sumXy = DECAY * sumXy + x * y;
    }

    double predict(double x) {
      if (count == 0) {
        return x;
      }
      double meanX = sumX / count;
      double meanY = sumY / count;
      double variance = Math.max(1e-6, sumXx / count - meanX * meanX);
      double slope = (sumXy / count - meanX * meanY) / variance;
      return meanY + Math.max(0, Math.min(1, slope)) * (x - meanX);
    }
  }
}
