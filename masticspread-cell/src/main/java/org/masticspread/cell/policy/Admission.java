package org.masticspread.cell.policy;

import java.time.Duration;

/**
 * Accepts a job, or refuses it at once if it would end too late to be of use.
 *
 * <p>Answers bursts beyond the capacity: what cannot be done in time is refused while its caller
 * can still do something else, and told when the backlog will have drained.
 */
public final class Admission {
  /**
   * How much faster the backlog drains than by the capacity alone: small tasks go beside gangs that
   * wait, and a job that ends a little late is worth more to its caller than a refusal. By the load
   * tests, at 0.75 gangs were refused three times as often and callers got less; the idle part of
   * the capacity was a third with either.
   */
  private static final double DRAIN_FACTOR = 1.5;

  /**
   * A job whose tasks fit into this part of the free room starts at once; the rest is fragments.
   */
  private static final double USABLE_SHARE = 0.75;

  /** A retry sooner than this would find the same backlog. */
  private static final Duration SHORTEST_RETRY = Duration.ofSeconds(1);

  /** A caller that is sent away for longer does not come back within the life of its job. */
  private static final Duration LONGEST_RETRY = Duration.ofSeconds(20);

  private Admission() {}

  /**
   * What a decision rests on.
   *
   * @param capacityMillicores what all usable workers do, at their learned speeds
   * @param freeMillicores what of it is free
   * @param waitingMillicores what the tasks that wait at the job's priority or before it need
   * @param waitingCoreMillis their work
   * @param runningCoreMillis the work that is left of what runs
   * @param widthMillicores what the widest step of the job needs
   * @param criticalPath the time that the job takes on idle workers
   * @param objective the time within which the caller wants it done
   */
  public record Facts(
      long capacityMillicores,
      long freeMillicores,
      long waitingMillicores,
      long waitingCoreMillis,
      long runningCoreMillis,
      long widthMillicores,
      Duration criticalPath,
      Duration objective) {}

  /**
   * A decision.
   *
   * @param accepted whether to accept the job
   * @param expected when it would be done
   * @param retryAfter when to come back, for a refusal; else zero
   */
  public record Decision(boolean accepted, Duration expected, Duration retryAfter) {}

  /**
   * Decides.
   *
   * @param facts the facts
   * @return the decision
   */
  public static Decision decide(Facts facts) {
    Duration wait = waitFor(facts);
    Duration expected = wait.plus(facts.criticalPath);
    if (facts.capacityMillicores > 0 && expected.compareTo(facts.objective) <= 0) {
      return new Decision(true, expected, Duration.ZERO);
    }
    return new Decision(false, expected, retryAfter(expected.minus(facts.objective)));
  }

  /** A job that fits into what is free beside what waits starts at once. */
  private static Duration waitFor(Facts facts) {
    if (facts.capacityMillicores <= 0) {
      return LONGEST_RETRY;
    }
    if (facts.waitingMillicores + facts.widthMillicores <= facts.freeMillicores * USABLE_SHARE) {
      return Duration.ZERO;
    }
    double perMillisecond = facts.capacityMillicores / 1000.0;
    double drain = facts.waitingCoreMillis / (perMillisecond * DRAIN_FACTOR);
    return Duration.ofMillis((long) (drain + untilRoom(facts)));
  }

  /** What runs ends at a steady rate; the job needs a part of it. */
  private static double untilRoom(Facts facts) {
    double busyMillicores = Math.max(1, facts.capacityMillicores - facts.freeMillicores);
    double meanLeftMillis = facts.runningCoreMillis * 1000.0 / busyMillicores;
    double needed = Math.max(0, facts.widthMillicores - facts.freeMillicores);
    return Math.min(1, needed / busyMillicores) * 2 * meanLeftMillis;
  }

  private static Duration retryAfter(Duration excess) {
    if (excess.compareTo(SHORTEST_RETRY) < 0) {
      return SHORTEST_RETRY;
    }
    return excess.compareTo(LONGEST_RETRY) > 0 ? LONGEST_RETRY : excess;
  }
}
