package org.masticspread.cell.testing;

import java.time.Duration;

/**
 * The link and the processor of a VM, each with a queue, in virtual time.
 *
 * @param bytesPerSecond what its link carries each way; 0 for no limit
 * @param cores its share of a core; 0 for no limit
 */
public record VmLimits(long bytesPerSecond, double cores) {
  /** No limits. */
  public static final VmLimits NONE = new VmLimits(0, 0);

  /** A VM of the small twins of the users' large site: 2 Mbit/s and 0.12 of a core. */
  public static final VmLimits TWIN = new VmLimits(250_000, 0.12);

  /** The strongest VM of the users' large site: 140 Mbit/s and 1.5 cores. */
  public static final VmLimits LARGE = new VmLimits(17_500_000, 1.5);

  /** What one VM has queued; a machine of its own for each life. */
  static final class Queues {
    private final VmLimits limits;
    private final VirtualTime time;
    private double outFreeAt;
    private double inFreeAt;
    private double processorFreeAt;

    Queues(VmLimits limits, VirtualTime time) {
      this.limits = limits;
      this.time = time;
    }

    VirtualTime time() {
      return time;
    }

    @Override
    public String toString() {
      return String.format(
          "out %.0f ms, in %.0f ms, processor %.0f ms",
          Math.max(0, outFreeAt - time.millis()),
          Math.max(0, inFreeAt - time.millis()),
          Math.max(0, processorFreeAt - time.millis()));
    }

    /** Runs an action when the bytes have left. */
    void send(long bytes, Runnable action) {
      outFreeAt = Math.max(outFreeAt, time.millis()) + onLink(bytes);
      at(outFreeAt, action);
    }

    /** Runs an action when the bytes have arrived. */
    void receive(long bytes, Runnable action) {
      inFreeAt = Math.max(inFreeAt, time.millis()) + onLink(bytes);
      at(inFreeAt, action);
    }

    private double onLink(long bytes) {
      return limits.bytesPerSecond == 0 ? 0 : bytes * 1000.0 / limits.bytesPerSecond;
    }

    /** Runs an action when the processor is free, and keeps it busy for the action's work. */
    void work(Duration core, Runnable action) {
      if (limits.cores == 0) {
        action.run();
        return;
      }
      double begin = Math.max(processorFreeAt, time.millis());
      charge(core);
      if (begin < time.millis() + 1) {
        action.run();
      } else {
        at(begin, action);
      }
    }

    /** Keeps the processor busy. */
    void charge(Duration core) {
      if (limits.cores > 0) {
        processorFreeAt = Math.max(processorFreeAt, time.millis());
        processorFreeAt += core.toNanos() / 1e6 / limits.cores;
      }
    }

    private void at(double millis, Runnable action) {
      time.after(Duration.ofMillis((long) Math.ceil(millis) - time.millis()), action);
    }
  }
}
