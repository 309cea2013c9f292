package org.masticspread.cell.policy;

import java.time.Duration;

/**
 * Admission control for jobs: accepts a job, or refuses it at once if it is expected to end after
 * its objective.
 *
 * <p>During bursts beyond the capacity, a job that cannot end in time is refused while its caller
 * can still do something else, with a retry interval after which the backlog is expected to have
 * drained.
 *
 * <p>Under competition between teams, a job that its team submitted beyond its weight is accepted
 * only while the waiting work of all priorities is so little that the owed part of it is not
 * delayed beyond its objectives.
 */
public final class Admission {
  /**
   * Factor by which the backlog is assumed to drain faster than the capacity alone allows. Small
   * tasks run beside waiting gangs, and a slightly late job is worth more to its caller than a
   * refusal. In the load tests, a factor of 0.75 refused gangs three times as often and callers
   * earned less, while a third of the capacity was idle with either value.
   */
  private static final double DRAIN_FACTOR = 1.5;

  /**
   * Share of the free capacity that a job can use at once. The rest is assumed to be fragmented.
   */
  private static final double USABLE_FREE_SHARE = 0.75;

  /**
   * Backlog of all priorities up to which excess is accepted. Owed gangs and batches can wait 8 s
   * and more, and a backlog takes up to twice as long to drain as the capacity alone tells.
   */
  private static final Duration MAX_BACKLOG_FOR_EXCESS = Duration.ofSeconds(4);

  /** Minimum retry interval. A caller that retries sooner would find the same backlog. */
  private static final Duration MIN_RETRY_AFTER = Duration.ofSeconds(1);

  /** Maximum retry interval. A caller told to wait longer would return too late for its job. */
  private static final Duration MAX_RETRY_AFTER = Duration.ofSeconds(20);

  private Admission() {}

  /**
   * The load of the cell and the size of the job to admit.
   *
   * @param capacityMillicores the capacity of all usable workers at their learned speeds
   * @param freeMillicores the free part of that capacity
   * @param waitingMillicores the demand of all waiting tasks of the same or a more urgent priority
   * @param waitingCoreMillis the work of these waiting tasks
   * @param runningCoreMillis the remaining work of the running tasks
   * @param widthMillicores the demand of the widest step of the job
   * @param criticalPath the run time of the job on idle workers
   * @param objective the time within which the caller wants the job to end
   * @param excess whether the team submitted the job beyond its weight
   * @param backlogCoreMillis for excess, the work of the waiting tasks of all priorities
   */
  public record Facts(
      long capacityMillicores,
      long freeMillicores,
      long waitingMillicores,
      long waitingCoreMillis,
      long runningCoreMillis,
      long widthMillicores,
      Duration criticalPath,
      Duration objective,
      boolean excess,
      long backlogCoreMillis) {
    /** Creates the facts of an owed job. */
    public Facts(
        long capacityMillicores,
        long freeMillicores,
        long waitingMillicores,
        long waitingCoreMillis,
        long runningCoreMillis,
        long widthMillicores,
        Duration criticalPath,
        Duration objective) {
      this(
          capacityMillicores,
          freeMillicores,
          waitingMillicores,
          waitingCoreMillis,
          runningCoreMillis,
          widthMillicores,
          criticalPath,
          objective,
          false,
          0);
    }
  }

  /**
   * The result of admission control.
   *
   * @param accepted whether the job is accepted
   * @param expected the expected time until the job ends
   * @param retryAfter the time after which a refused caller should retry; zero for an accepted job
   */
  public record Decision(boolean accepted, Duration expected, Duration retryAfter) {}

  /**
   * Decides whether to accept a job.
   *
   * @param facts the load and the size of the job
   * @return the decision
   */
  public static Decision decide(Facts facts) {
    if (facts.excess && backlogMillis(facts) > MAX_BACKLOG_FOR_EXCESS.toMillis()) {
      return new Decision(false, facts.criticalPath, MIN_RETRY_AFTER);
    }
    Duration wait = estimateWait(facts);
    Duration expected = wait.plus(facts.criticalPath);
    if (facts.capacityMillicores > 0 && expected.compareTo(facts.objective) <= 0) {
      return new Decision(true, expected, Duration.ZERO);
    }
    return new Decision(false, expected, retryAfter(expected.minus(facts.objective)));
  }

  /** Returns the time in which the capacity drains the waiting work of all priorities. */
  private static double backlogMillis(Facts facts) {
    return facts.backlogCoreMillis * 1000.0 / Math.max(1, facts.capacityMillicores);
  }

  /**
   * Estimates the queueing time; zero if the waiting tasks and the job fit into the free capacity.
   */
  private static Duration estimateWait(Facts facts) {
    if (facts.capacityMillicores <= 0) {
      return MAX_RETRY_AFTER;
    }
    if (facts.waitingMillicores + facts.widthMillicores
        <= facts.freeMillicores * USABLE_FREE_SHARE) {
      return Duration.ZERO;
    }
    double totalCores = facts.capacityMillicores / 1000.0;
    double drainMillis = facts.waitingCoreMillis / (totalCores * DRAIN_FACTOR);
    return Duration.ofMillis((long) (drainMillis + millisUntilCapacityFrees(facts)));
  }

  /** Estimates when enough running tasks have ended, assuming that they end at a steady rate. */
  private static double millisUntilCapacityFrees(Facts facts) {
    double busyMillicores = Math.max(1, facts.capacityMillicores - facts.freeMillicores);
    double meanRemainingMillis = facts.runningCoreMillis * 1000.0 / busyMillicores;
    double missingMillicores = Math.max(0, facts.widthMillicores - facts.freeMillicores);
    return Math.min(1, missingMillicores / busyMillicores) * 2 * meanRemainingMillis;
  }

  private static Duration retryAfter(Duration excess) {
    if (excess.compareTo(MIN_RETRY_AFTER) < 0) {
      return MIN_RETRY_AFTER;
    }
    return excess.compareTo(MAX_RETRY_AFTER) > 0 ? MAX_RETRY_AFTER : excess;
  }
}
