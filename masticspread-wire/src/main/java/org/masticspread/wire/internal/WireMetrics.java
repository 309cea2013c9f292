package org.masticspread.wire.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;

/** The counters of the inner protocol. */
public final class WireMetrics {
  private final Counter framesIn;
  private final Counter framesOut;
  private final Counter bytesIn;
  private final Counter bytesOut;
  private final Counter reconnects;
  private final Counter silent;
  private final Counter droppedAnswers;
  private final Counter droppedCalls;
  private final Counter strangers;

  /**
   * Creates the counters.
   *
   * @param registry holds them under {@code wire.}
   */
  public WireMetrics(MetricRegistry registry) {
    framesIn = registry.counter("wire.frames.in");
    framesOut = registry.counter("wire.frames.out");
    bytesIn = registry.counter("wire.bytes.in");
    bytesOut = registry.counter("wire.bytes.out");
    reconnects = registry.counter("wire.reconnects");
    silent = registry.counter("wire.silent.connections");
    droppedAnswers = registry.counter("wire.dropped.answers");
    droppedCalls = registry.counter("wire.dropped.calls");
    strangers = registry.counter("wire.strangers");
  }

  void sent(int bytes) {
    framesOut.inc();
    bytesOut.inc(bytes);
  }

  void received(int bytes) {
    framesIn.inc();
    bytesIn.inc(bytes);
  }

  /** Counts a connection that replaces a lost one. */
  void reconnected() {
    reconnects.inc();
  }

  void silent() {
    silent.inc();
  }

  /** Counts an answer that no call waits for. */
  void droppedAnswer() {
    droppedAnswers.inc();
  }

  /** Counts a frame that is no call, or a call that came twice. */
  void droppedCall() {
    droppedCalls.inc();
  }

  void stranger() {
    strangers.inc();
  }
}
