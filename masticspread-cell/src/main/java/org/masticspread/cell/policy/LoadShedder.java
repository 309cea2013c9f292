package org.masticspread.cell.policy;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;

/**
 * A load shedder that refuses a share of the jobs while the leader's own processor or network link
 * is overloaded, so that the other jobs are served in time.
 *
 * <p>On small VMs, the leader rather than the workers is the bottleneck during bursts: without
 * shedding, all jobs with little slack would be accepted and all would be late. The refused share
 * grows with the processing delay and shrinks with the slack of a job. Refusals are spread evenly
 * over the jobs of a queue, so that no caller meets a series of refusals by chance. Jobs with
 * enough slack wait instead.
 */
public final class LoadShedder {
  /** Number of steps of a job that incur the delay: accept, commit, advice, start and end. */
  private static final int DELAYED_STEPS = 5;

  /** Share of the slack, used up by the delayed steps, above which shedding starts. */
  private static final double SHEDDING_START = 0.6;

  /** Share of the slack, used up by the delayed steps, from which the maximum share is refused. */
  private static final double SHEDDING_FULL = 1.6;

  /** Maximum refused share. The delay is measured on accepted jobs, so some are always accepted. */
  private static final double MAX_REFUSED_SHARE = 0.9;

  /** Factor of the delay for excess, so that it is refused before the delay costs owed jobs. */
  private static final int EXCESS_DELAY_FACTOR = 2;

  /** Accumulated acceptance credit by queue; a job is accepted when the credit reaches 1. */
  private final Map<String, Double> credits = new HashMap<>();

  /**
   * Returns the share of jobs to refuse.
   *
   * @param delay the processing delay of the leader
   * @param slack the time that a job has beyond its run time
   * @return the share, from 0 to 1
   */
  public static double refusedShare(Duration delay, Duration slack) {
    double usedShare = DELAYED_STEPS * delay.toMillis() / (double) Math.max(1, slack.toMillis());
    double ramp = (usedShare - SHEDDING_START) / (SHEDDING_FULL - SHEDDING_START);
    return Math.max(0, Math.min(1, ramp)) * MAX_REFUSED_SHARE;
  }

  /**
   * Decides whether to accept a job that its team submitted beyond its weight. Excess is shed
   * first: it is refused before the first owed job is.
   *
   * @param delay the processing delay of the leader
   * @param slack the time that the job has beyond its run time
   * @return whether to accept the job
   */
  public static boolean admitsExcess(Duration delay, Duration slack) {
    return refusedShare(delay.multipliedBy(EXCESS_DELAY_FACTOR), slack) <= 0;
  }

  /**
   * Decides whether to accept a job.
   *
   * @param queue the queue of the job
   * @param delay the processing delay of the leader
   * @param slack the time that the job has beyond its run time
   * @return whether to accept the job
   */
  public boolean admits(String queue, Duration delay, Duration slack) {
    double refusedShare = refusedShare(delay, slack);
    if (refusedShare <= 0) {
      credits.remove(queue);
      return true;
    }
    double credit = credits.getOrDefault(queue, 0.0) + 1 - refusedShare;
    boolean admitted = credit >= 1;
    credits.put(queue, admitted ? credit - 1 : credit);
    return admitted;
  }
}
