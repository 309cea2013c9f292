package org.masticspread.cell.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how fast each worker works, and what the estimates of each queue are worth, from runs that
 * ended. The expected time of a task is a regression of the logarithm of real times on that of
 * estimates: where estimates are rough, it stays near the mean of the queue.
 */
public final class SpeedEstimator {
  /** The weight of a new run for a worker: about ten runs count. */
  private static final double WORKER_WEIGHT = 0.12;

  /** Beyond this a single run says more about the task than about the worker. */
  private static final double MOST_LOG_RATIO = 1.5;

  private final Map<String, Double> workers = new HashMap<>();

  /** The speeds that follow, kept since placements ask for them all the time. */
  private final Map<String, Double> speeds = new HashMap<>();

  private long version;

  private final Map<String, Regression> queues = new HashMap<>();

  /**
   * Notes a run that succeeded.
   *
   * @param queue its queue
   * @param worker its worker
   * @param estimateMillis the estimate, with known slowdowns; nothing is learned from 0
   * @param tookMillis how long it took
   */
  public void recordRun(String queue, String worker, double estimateMillis, double tookMillis) {
    if (estimateMillis <= 0 || tookMillis <= 0) {
      return;
    }
    double ofWorker = workers.getOrDefault(worker, 0.0);
    double real = Math.log(tookMillis);
    Regression queueTimes = queues.computeIfAbsent(queue, name -> new Regression());
    double expected = queueTimes.at(Math.log(estimateMillis));
    keep(worker, ofWorker + WORKER_WEIGHT * (clamp(real - expected) - ofWorker));
    queueTimes.add(Math.log(estimateMillis), real - ofWorker);
  }

  /**
   * Notes that a run takes longer than it should, before it ends.
   *
   * @param worker the worker
   * @param speed the highest speed that it can have
   */
  public void atMost(String worker, double speed) {
    double log = clamp(-Math.log(speed));
    keep(worker, Math.max(log, workers.getOrDefault(worker, log)));
  }

  private void keep(String worker, double log) {
    workers.put(worker, log);
    speeds.put(worker, Math.exp(-log));
    version++;
  }

  /**
   * Forgets a worker, since another life of it may be of another kind.
   *
   * @param worker the worker
   */
  public void forget(String worker) {
    workers.remove(worker);
    speeds.remove(worker);
    version++;
  }

  /**
   * Returns the learned speed of a worker.
   *
   * @param worker the worker
   * @return 1 for one that needs as long as estimated, or of which nothing is known
   */
  public double speed(String worker) {
    return speeds.getOrDefault(worker, 1.0);
  }

  /**
   * Counts the changes of speeds, so that a speed can be kept until the next one.
   *
   * @return the count
   */
  public long version() {
    return version;
  }

  /**
   * Returns the expected time of a task on a worker of speed 1.
   *
   * @param queue its queue
   * @param estimateMillis its estimate
   * @return the time in ms; the estimate if nothing is known
   */
  public double expectedMillis(String queue, double estimateMillis) {
    Regression times = queues.get(queue);
    if (times == null || estimateMillis <= 0) {
      return estimateMillis;
    }
    return Math.exp(times.at(Math.log(estimateMillis)));
  }

  private static double clamp(double log) {
    return Math.max(-MOST_LOG_RATIO, Math.min(MOST_LOG_RATIO, log));
  }

  /** A line through points, with older points fading; begins as the line through all estimates. */
  private static final class Regression {
    /** The weight of the points before: some hundred runs count. */
    private static final double FADING = 0.995;

    /** Points that say that estimates are right, before any run says otherwise. */
    private static final double PRIOR_POINTS = 4;

    /** The spread of the prior points, in logarithms: a factor of 2 either way. */
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
      count = FADING * count + 1;
      sumX = FADING * sumX + x;
      sumY = FADING * sumY + y;
      sumXx = FADING * sumXx + x * x;
      sumXy = FADING * sumXy + x * y;
    }

    double at(double x) {
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
