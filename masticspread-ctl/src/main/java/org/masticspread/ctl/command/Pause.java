package org.masticspread.ctl.command;

import java.time.Duration;

/** A replaceable form of {@link Thread#sleep(long)}. */
@FunctionalInterface
public interface Pause {
  /**
   * Sleeps.
   *
   * @param time the duration to sleep
   * @throws InterruptedException if the thread is interrupted
   */
  void sleep(Duration time) throws InterruptedException;
}
