package org.masticspread.cell.testing;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;

/**
 * The limits of a VM's network link and processor, each of which has a queue in virtual time.
 *
 * @param bytesPerSecond the bandwidth of the link in each direction; 0 for no limit
 * @param cores the share of a core; 0 for no limit
 */
public record VmLimits(long bytesPerSecond, double cores) {
  /** No limits. */
  public static final VmLimits NONE = new VmLimits(0, 0);

  /** A VM of the scaled-down copy of the users' large site: 2 Mbit/s and 0.12 of a core. */
  public static final VmLimits SMALL = new VmLimits(250_000, 0.12);

  /** The strongest VM of the users' large site: 140 Mbit/s and 1.5 cores. */
  public static final VmLimits LARGE = new VmLimits(17_500_000, 1.5);

  /** The queues of a VM's link and processor; each incarnation has its own. */
  static final class Queues {
    private final VmLimits limits;
    private final VirtualTime time;
    private double outboundFreeAtMillis;
    private double inboundFreeAtMillis;
    private double processorFreeAtMillis;
    private long frozenUntilMillis;

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
          Math.max(0, outboundFreeAtMillis - time.millis()),
          Math.max(0, inboundFreeAtMillis - time.millis()),
          Math.max(0, processorFreeAtMillis - time.millis()));
    }

    /** Runs an action when the bytes have been sent. */
    void send(long bytes, Runnable action) {
      outboundFreeAtMillis = Math.max(outboundFreeAtMillis, time.millis()) + transferMillis(bytes);
      schedule(outboundFreeAtMillis, action);
    }

    /** Runs an action when the bytes have been received. */
    void receive(long bytes, Runnable action) {
      inboundFreeAtMillis = Math.max(inboundFreeAtMillis, time.millis()) + transferMillis(bytes);
      schedule(inboundFreeAtMillis, action);
    }

    private double transferMillis(long bytes) {
      return limits.bytesPerSecond == 0 ? 0 : bytes * 1000.0 / limits.bytesPerSecond;
    }

    /** Suspends the process, which goes on later where it was. */
    void freeze(Duration duration) {
      frozenUntilMillis = time.millis() + duration.toMillis();
    }

    /** Runs an action once the process is not suspended. */
    void whenRunning(Runnable action) {
      if (time.millis() < frozenUntilMillis) {
        time.after(Duration.ofMillis(frozenUntilMillis - time.millis()), action);
      } else {
        action.run();
      }
    }

    /** Delivers a result once the process is not suspended. */
    <T> Single<T> whenRunning(Single<T> result) {
      return Single.create(
          emitter -> {
            var unused =
                result.subscribe(
                    answer -> whenRunning(() -> emitter.onSuccess(answer)),
                    error -> whenRunning(() -> emitter.tryOnError(error)));
          });
    }

    /** Runs an action when the processor is free, and occupies the processor for the CPU time. */
    void execute(Duration cpuTime, Runnable action) {
      if (time.millis() < frozenUntilMillis) {
        whenRunning(() -> execute(cpuTime, action));
        return;
      }
      if (limits.cores == 0) {
        action.run();
        return;
      }
      double begin = Math.max(processorFreeAtMillis, time.millis());
      consume(cpuTime);
      if (begin < time.millis() + 1) {
        action.run();
      } else {
        schedule(begin, action);
      }
    }

    /** Occupies the processor for the CPU time. */
    void consume(Duration cpuTime) {
      if (limits.cores > 0) {
        processorFreeAtMillis = Math.max(processorFreeAtMillis, time.millis());
        processorFreeAtMillis += cpuTime.toNanos() / 1e6 / limits.cores;
      }
    }

    private void schedule(double millis, Runnable action) {
      time.after(Duration.ofMillis((long) Math.ceil(millis) - time.millis()), action);
    }
  }
}
