package org.masticspread.cell.lead;

import java.time.Duration;
import java.time.InstantSource;
import java.util.function.LongConsumer;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.port.TablePort;
import org.masticspread.cell.port.Timers;

/**
 * Measures how long the store takes to answer this VM: the shortest of a few reads, since the first
 * one opens a connection and a VM that starts is slow.
 */
final class StoreLatency {
  private static final int READS = 3;

  /** A VM that has not measured by then registers without a latency. */
  private static final Duration TIMEOUT = Duration.ofMillis(600);

  private final TablePort store;
  private final Timers timers;
  private final InstantSource clock;
  private long shortestMillis = Long.MAX_VALUE;
  private boolean reported;

  StoreLatency(TablePort store, Timers timers, InstantSource clock) {
    this.store = store;
    this.timers = timers;
    this.clock = clock;
  }

  /** Reports the latency in ms once, at least 1; 0 if no read was answered in time. */
  void measure(LongConsumer then) {
    timers.after(TIMEOUT, () -> report(then));
    read(READS, then);
  }

  private void read(int remaining, LongConsumer then) {
    if (remaining == 0 || reported) {
      report(then);
      return;
    }
    long sentMillis = clock.millis();
    var unused =
        store
            .read(Rows.LEADER_TABLE, Rows.PART, "", 1)
            .subscribe(
                page -> {
                  long took = Math.max(1, clock.millis() - sentMillis);
                  shortestMillis = Math.min(shortestMillis, took);
                  read(remaining - 1, then);
                },
                error -> read(remaining - 1, then));
  }

  private void report(LongConsumer then) {
    if (!reported) {
      reported = true;
      then.accept(shortestMillis == Long.MAX_VALUE ? 0 : shortestMillis);
    }
  }
}
