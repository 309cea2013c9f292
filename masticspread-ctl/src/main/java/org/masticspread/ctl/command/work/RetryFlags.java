package org.masticspread.ctl.command.work;

import java.time.Duration;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.UsageException;
import picocli.CommandLine.Option;

/** The flag that limits retries. */
final class RetryFlags {
  private static final Duration DEFAULT_RETRY_TIME = Duration.ofSeconds(10);
  private static final int MAX_RETRIES = 100;

  @Option(
      names = "--retries",
      defaultValue = "3",
      paramLabel = "N",
      description = "The most repeats while it certainly did not run, from 0 to 100; default 3.")
  private int retries;

  /** Returns the retry policy; a null time limit means 10 s. */
  RetryPolicy policy(CtlContext context, Duration within) throws UsageException {
    Flags.requireBetween("--retries", retries, 0, MAX_RETRIES);
    return new RetryPolicy(context, retries, Flags.orDefault(within, DEFAULT_RETRY_TIME));
  }
}
