package org.masticspread.wire.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.masticspread.wire.MessageTypes;

/** The counters of the inner protocol. */
public final class WireMetrics {
  private final MetricRegistry registry;
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
   * @param registry holds them under {@code wire.}, and the bytes of each kind of message under
   *     {@code bytes.out.peer.} and {@code bytes.in.peer.}
   */
  public WireMetrics(MetricRegistry registry) {
    this.registry = registry;
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

  void sent(int kind, int bytes) {
    framesOut.inc();
    bytesOut.inc(bytes);
    count("out", kind, bytes);
  }

  void received(int kind, int bytes) {
    framesIn.inc();
    bytesIn.inc(bytes);
    count("in", kind, bytes);
  }

  private void count(String direction, int kind, int bytes) {
    registry.counter("bytes." + direction + ".peer." + MessageTypes.nameOf(kind)).inc(bytes);
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
