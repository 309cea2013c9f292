package org.masticspread.cell.policy;

import java.time.Duration;

/**
 * The policy that decides whether a gang that could start now waits for workers on which it would
 * end earlier.
 *
 * <p>On heavily loaded workers of different speeds, free workers tend to be slow and fast ones are
 * in demand. A gang that always waits for the plan with the earliest end may never start.
 *
 * <pre>{@code
 * if (!GangWaitPolicy.shouldWait(now, later, waitedMillis)) {
 *   launch(now);
 * }
 * }</pre>
 */
public final class GangWaitPolicy {
  /** Maximum time for which a gang that could start waits. */
  private static final Duration MAX_WAIT = Duration.ofMillis(1500);

  private GangWaitPolicy() {}

  /**
   * Returns whether to wait for the later plan. The total wait is limited by the run time that the
   * later plan saves, so that a gang ends after at most twice its shortest run time, and by a fixed
   * maximum.
   *
   * @param now the best plan that starts at once
   * @param later a plan that starts later and ends earlier
   * @param waitedMillis the time for which the gang could have started but did not
   * @return whether to wait for the later plan
   */
  public static boolean shouldWait(GangPlan now, GangPlan later, long waitedMillis) {
    long wait = waitedMillis + later.startMillis() - now.startMillis();
    long saved = now.runMillis() - later.runMillis();
    return wait <= Math.min(saved, MAX_WAIT.toMillis());
  }
}
