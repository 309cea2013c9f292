package org.masticspread.cell.policy;

import java.util.HashMap;
import java.util.Map;

/**
 * Learns how fast each worker works and how far the estimates of each queue are off, from runs that
 * ended. A run's ratio of real to estimated time is the product of both; each is a moving mean of
 * what the other leaves.
 */
public final class SpeedBook {
  /** The weight of a new run for a worker: about ten runs count. */
  private static final double WORKER_WEIGHT = 0.12;

  /** The weight of a new run for a queue: about fifty runs count. */
  private static final double QUEUE_WEIGHT = 0.02;

  /** Beyond this a single run says more about the task than about the worker. */
  private static final double MOST_LOG_RATIO = 1.5;

  private final Map<String, Double> workers = new HashMap<>();
  private final Map<String, Double> queues = new HashMap<>();

  /**
   * Notes a run that succeeded.
   *
   * @param queue its queue
   * @param worker its worker
   * @param estimateMillis the estimate, with known slowdowns; nothing is learned from 0
   * @param tookMillis how long it took
   */
  public void ran(String queue, String worker, double estimateMillis, double tookMillis) {
    if (estimateMillis <= 0 || tookMillis <= 0) {
      return;
    }
    double ratio = clamp(Math.log(tookMillis / estimateMillis));
    double ofQueue = queues.getOrDefault(queue, 0.0);
    double ofWorker = workers.getOrDefault(worker, 0.0);
    workers.put(worker, ofWorker + WORKER_WEIGHT * (ratio - ofQueue - ofWorker));
    queues.put(queue, ofQueue + QUEUE_WEIGHT * (ratio - ofWorker - ofQueue));
  }

  /**
   * Notes that a run takes longer than it should, before it ends.
   *
   * @param worker the worker
   * @param speed the highest speed that it can have
   */
  public void atMost(String worker, double speed) {
    double log = clamp(-Math.log(speed));
    workers.merge(worker, log, Math::max);
  }

  /**
   * Forgets a worker, since another life of it may be of another kind.
   *
   * @param worker the worker
   */
  public void forget(String worker) {
    workers.remove(worker);
  }

  /**
   * Returns the learned speed of a worker.
   *
   * @param worker the worker
   * @return 1 for one that needs as long as estimated, or of which nothing is known
   */
  public double speed(String worker) {
    return Math.exp(-workers.getOrDefault(worker, 0.0));
  }

  /**
   * Returns how many times longer than estimated the tasks of a queue take.
   *
   * @param queue the queue
   * @return the factor, 1 if nothing is known
   */
  public double bias(String queue) {
    return Math.exp(queues.getOrDefault(queue, 0.0));
  }

  private static double clamp(double log) {
    return Math.max(-MOST_LOG_RATIO, Math.min(MOST_LOG_RATIO, log));
  }
}
