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
 * Counts what a VM sends and receives by kind of message, and how long its decisions take.
 *
 * <pre>{@code
 * LoadMeter meter = new LoadMeter(registry, System::nanoTime);
 * meter.sent("worker.start", 812);
 * meter.timed("pass", scheduler::pass);
 * }</pre>
 */
public final class LoadMeter {
  private final MetricRegistry registry;
  private final LongSupplier nanos;
  private final Map<String, Long> told = new HashMap<>();

  /**
   * Creates a meter.
   *
   * @param registry holds {@code bytes.out.KIND}, {@code bytes.in.KIND}, {@code messages.out.KIND}
   *     and {@code busy.us.DECISION}
   * @param nanos a steady clock in ns
   */
  public LoadMeter(MetricRegistry registry, LongSupplier nanos) {
    this.registry = registry;
    this.nanos = nanos;
  }

  /**
   * Counts a message that was sent.
   *
   * @param kind what it is for
   * @param bytes its size with headers
   */
  public void sent(String kind, long bytes) {
    registry.counter("messages.out." + kind).inc();
    registry.counter("bytes.out." + kind).inc(bytes);
  }

  /**
   * Counts a message that was received.
   *
   * @param kind what it is for
   * @param bytes its size with headers
   */
  public void received(String kind, long bytes) {
    registry.counter("bytes.in." + kind).inc(bytes);
  }

  /**
   * Runs a decision and counts how long it took.
   *
   * @param decision what is decided
   * @param action decides
   */
  public void timed(String decision, Runnable action) {
    long begun = nanos.getAsLong();
    try {
      action.run();
    } finally {
      long took = TimeUnit.NANOSECONDS.toMicros(nanos.getAsLong() - begun);
      registry.counter("busy.us." + decision.toLowerCase(Locale.ROOT)).inc(took);
    }
  }

  /**
   * Returns what was counted since the last call.
   *
   * @param prefix the counters: {@code bytes.out.}, {@code bytes.in.} or {@code busy.us.}
   * @return the kinds with what each counted, the largest first; those that counted nothing are
   *     left out
   */
  public Map<String, Long> since(String prefix) {
    Map<String, Long> counted = new LinkedHashMap<>();
    registry
        .getCounters((name, metric) -> name.startsWith(prefix))
        .forEach(
            (name, counter) -> {
              long now = counter.getCount();
              Long before = told.put(name, now);
              long more = now - (before == null ? 0 : before);
              if (more > 0) {
                counted.put(name.substring(prefix.length()), more);
              }
            });
    return counted.entrySet().stream()
        .sorted(Map.Entry.<String, Long>comparingByValue().reversed())
        .collect(
            Collectors.toMap(
                Map.Entry::getKey, Map.Entry::getValue, (a, b) -> a, LinkedHashMap::new));
  }
}
