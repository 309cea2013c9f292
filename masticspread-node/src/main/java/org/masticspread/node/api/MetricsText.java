package org.masticspread.node.api;

import com.codahale.metrics.Counter;
import com.codahale.metrics.Gauge;
import com.codahale.metrics.Histogram;
import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import com.codahale.metrics.Timer;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** Formats a metric registry in the text format for scrapers. */
final class MetricsText {
  private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

  private final StringBuilder text = new StringBuilder();

  private MetricsText() {}

  static String of(MetricRegistry metrics) {
    MetricsText writer = new MetricsText();
    metrics.getGauges().forEach(writer::gauge);
    metrics.getCounters().forEach(writer::counter);
    metrics.getMeters().forEach(writer::meter);
    for (Map.Entry<String, Histogram> e : metrics.getHistograms().entrySet()) {
      writer.summary(name(e.getKey()), e.getValue().getSnapshot(), e.getValue().getCount(), 1);
    }
    for (Map.Entry<String, Timer> e : metrics.getTimers().entrySet()) {
      String name = name(e.getKey()) + "_seconds";
      writer.summary(name, e.getValue().getSnapshot(), e.getValue().getCount(), NANOS_PER_SECOND);
    }
    return writer.text.toString();
  }

  private static String name(String dotted) {
    return "masticspread_" + dotted.replaceAll("[^A-Za-z0-9_]", "_");
  }

  private void gauge(String dotted, Gauge<?> gauge) {
    if (gauge.getValue() instanceof Number number) {
      line(name(dotted), "gauge", number.doubleValue());
    }
  }

  private void counter(String dotted, Counter counter) {
    line(name(dotted), "gauge", counter.getCount());
  }

  private void meter(String dotted, Meter meter) {
    line(name(dotted) + "_total", "counter", meter.getCount());
  }

  private void summary(String name, Snapshot snapshot, long count, double divisor) {
    text.append("# TYPE ").append(name).append(" summary\n");
    quantile(name, "0.5", snapshot.getMedian() / divisor);
    quantile(name, "0.99", snapshot.get99thPercentile() / divisor);
    text.append(name).append("_count ").append(count).append('\n');
  }

  private void quantile(String name, String quantile, double value) {
    text.append(name).append("{quantile=\"").append(quantile).append("\"} ");
    text.append(value).append('\n');
  }

  private void line(String name, String type, double value) {
    text.append("# TYPE ").append(name).append(' ').append(type).append('\n');
    text.append(name).append(' ').append(value).append('\n');
  }
}
