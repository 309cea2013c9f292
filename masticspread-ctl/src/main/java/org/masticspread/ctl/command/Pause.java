package org.masticspread.ctl.command;

import java.time.Duration;

/** Waits for a while. */
@FunctionalInterface
public interface Pause {
  /**
   * Waits.
   *
   * @param time how long
   * @throws InterruptedException if the thread is interrupted
   */
  void of(Duration time) throws InterruptedException;
}
