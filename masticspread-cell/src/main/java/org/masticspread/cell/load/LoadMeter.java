package org.masticspread.cell.load;

import com.codahale.metrics.MetricRegistry;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.stream.Collectors;

/**
 * A meter for the bytes and messages that a VM sends and receives, by kind of message, and for the
 * time spent on its decisions.
 *
 * <pre>{@code
 * LoadMeter meter = new LoadMeter(registry, System::nanoTime);
 * meter.sent("worker.start", 812);
 * meter.timed("pass", scheduler::pass);
 * }</pre>
 */
public final class LoadMeter {
  private final MetricRegistry registry;
  private final LongSupplier nanoClock;
  private final Map<String, Long> reportedCounts = new HashMap<>();

  /**
   * Creates a meter.
   *
   * @param registry the registry for the counters {@code bytes.out.KIND}, {@code bytes.in.KIND},
   *     {@code messages.out.KIND} and {@code busy.us.DECISION}
   * @param nanoClock a monotonic clock in ns
   */
  public LoadMeter(MetricRegistry registry, LongSupplier nanoClock) {
    this.registry = registry;
    this.nanoClock = nanoClock;
  }

  /**
   * Counts a sent message.
   *
   * @param kind the kind of message
   * @param bytes the size with headers
   */
  public void sent(String kind, long bytes) {
    registry.counter("messages.out." + kind).inc();
    registry.counter("bytes.out." + kind).inc(bytes);
  }

  /**
   * Counts the bytes of a received message.
   *
   * @param kind the kind of message
   * @param bytes the size with headers
   */
  public void received(String kind, long bytes) {
    registry.counter("bytes.in." + kind).inc(bytes);
  }

  /**
   * Runs a decision and counts the time spent on it.
   *
   * @param decision the name of the decision
   * @param action the action to run
   */
  public void timed(String decision, Runnable action) {
    long started = nanoClock.getAsLong();
    try {
      action.run();
    } finally {
      long took = TimeUnit.NANOSECONDS.toMicros(nanoClock.getAsLong() - started);
      registry.counter("busy.us." + decision.toLowerCase(Locale.ROOT)).inc(took);
    }
  }

  /**
   * Returns the increments of counters since the last call.
   *
   * @param prefix the prefix of the counters: {@code bytes.out.}, {@code bytes.in.} or {@code
   *     busy.us.}
   * @return the increments by kind, largest first, without those that are zero
   */
  public Map<String, Long> countsSinceLastCall(String prefix) {
    Map<String, Long> counted = new LinkedHashMap<>();
    registry
        .getCounters((name, metric) -> name.startsWith(prefix))
        .forEach(
            (name, counter) -> {
              long now = counter.getCount();
              Long before = reportedCounts.put(name, now);
              long increment = now - (before == null ? 0 : before);
              if (increment > 0) {
                counted.put(name.substring(prefix.length()), increment);
              }
            });
    return counted.entrySet().stream()
        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
        .collect(
            Collectors.toMap(
                Map.Entry::getKey, Map.Entry::getValue, (a, b) -> a, LinkedHashMap::new));
  }
}
