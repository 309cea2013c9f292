package org.masticspread.cell.policy;

import java.time.Duration;

/**
 * Whether a gang that has room now waits for workers on which it would end sooner.
 *
 * <p>Answers heavy days on workers of unlike speed: what is free is slow and what is fast is asked
 * for by many, so a gang that always waits for the plan that ends first may never start.
 *
 * <pre>{@code
 * if (!GangWaitPolicy.shouldWait(now, later, waitedMillis)) {
 *   launch(now);
 * }
 * }</pre>
 */
public final class GangWaitPolicy {
  /** A gang that has room starts after this at the latest. */
  private static final Duration LONGEST_WAIT = Duration.ofMillis(1500);

  private GangWaitPolicy() {}

  /**
   * Decides. A gang waits in all no longer than it would save, so that it ends at worst after twice
   * the time that it needs at least, and never longer than a fixed time.
   *
   * @param now the best plan that starts at once
   * @param later a plan that starts later and ends sooner
   * @param waitedMillis for how long the gang has had room and not started
   * @return whether to wait for the later plan
   */
  public static boolean shouldWait(GangPlan now, GangPlan later, long waitedMillis) {
    long wait = waitedMillis + later.startMillis() - now.startMillis();
    long saved = now.runMillis() - later.runMillis();
    return wait <= Math.min(saved, LONGEST_WAIT.toMillis());
  }
}
