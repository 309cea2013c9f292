package org.masticspread.cell.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * Refuses a part of the jobs while the leader's own processor or link is behind, so that the others
 * are served in time.
 *
 * <p>Answers bursts on small VMs, where the leader and not the workers is the bottleneck: what has
 * little time beside its work would all be accepted and all be late. The part follows from the
 * delay and from the time that a job has, and falls with the delay; it is taken evenly, so that no
 * caller meets a row of refusals by chance. Jobs with more time wait instead.
 */
public final class LoadShedder {
  /** The steps of a job that each take the delay: accept, commit, advice, start, end. */
  private static final int STEPS = 5;

  /** Nothing is refused while the steps take less than this part of the time that a job has. */
  private static final double BEGIN = 0.6;

  /** From this part on the largest part is refused. */
  private static final double FULL = 1.6;

  /** Some are accepted at any delay, since the delay is measured by what they do. */
  private static final double LARGEST_PART = 0.9;

  /** What is owed to each queue: a job is accepted when it reaches 1. */
  private final Map<String, Double> owed = new HashMap<>();

  /**
   * Returns the part that is refused.
   *
   * @param delay how far the leader is behind
   * @param spare the time that a job has beside its work
   * @return the part, from 0 to 1
   */
  public static double part(Duration delay, Duration spare) {
    double used = STEPS * delay.toMillis() / (double) Math.max(1, spare.toMillis());
    double over = (used - BEGIN) / (FULL - BEGIN);
    return Math.max(0, Math.min(1, over)) * LARGEST_PART;
  }

  /**
   * Decides about one job.
   *
   * @param queue its queue
   * @param delay how far the leader is behind
   * @param spare the time that the job has beside its work
   * @return whether to accept it
   */
  public boolean admits(String queue, Duration delay, Duration spare) {
    double part = part(delay, spare);
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
