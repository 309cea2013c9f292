package org.masticspread.cell.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Refuses a part of the jobs while the leader's own processor or link is behind, so that the others
 * are served in time.
 *
 * <p>Answers bursts on small VMs, where the leader and not the workers is the bottleneck: without
 * it all jobs are accepted and all are late. The part follows from the delay and falls with it; it
 * is taken evenly, so that no caller meets a row of refusals by chance. Gangs are refused last: the
 * leader's work for each of them is worth most.
 */
public final class Shedding {
  /** Below this delay nothing is refused: a check has some 250 ms in all. */
  private static final Duration BEGIN = Duration.ofMillis(80);

  /** From this delay on the largest part is refused. */
  private static final Duration FULL = Duration.ofMillis(330);

  /** Some are accepted at any delay, since the delay is measured by what they do. */
  private static final double LARGEST_PART = 0.9;

  private static final double PART_OF_GANGS = 0.5;

  /** What is owed to each queue: a job is accepted when it reaches 1. */
  private final Map<String, Double> owed = new HashMap<>();

  /**
   * Returns the part that is refused.
   *
   * @param delay how far the leader is behind
   * @param gang whether the tasks of the job work only together
   * @return the part, from 0 to 1
   */
  public static double part(Duration delay, boolean gang) {
    double over = delay.minus(BEGIN).toMillis() / (double) FULL.minus(BEGIN).toMillis();
    return Math.max(0, Math.min(1, over)) * LARGEST_PART * (gang ? PART_OF_GANGS : 1);
  }

  /**
   * Decides about one job.
   *
   * @param queue its queue
   * @param delay how far the leader is behind
   * @param gang whether its tasks work only together
   * @return whether to accept it
   */
  public boolean admits(String queue, Duration delay, boolean gang) {
    double part = part(delay, gang);
    if (part <= 0) {
      owed.remove(queue);
      return true;
    }
    double now = owed.getOrDefault(queue, 0.0) + 1 - part;
    boolean admitted = now >= 1;
    owed.put(queue, admitted ? now - 1 : now);
    return admitted;
  }
}
