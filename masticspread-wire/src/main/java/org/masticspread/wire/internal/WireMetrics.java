package org.masticspread.wire.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import org.masticspread.wire.MessageTypes;

/** The counters of the peer protocol. */
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
  private final Counter rejectedHandshakes;

  /**
   * Creates the counters.
   *
   * @param registry the registry for the counters, which are named {@code wire.*} and, for the
   *     bytes of each message type, {@code bytes.out.peer.*} and {@code bytes.in.peer.*}
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
    rejectedHandshakes = registry.counter("wire.strangers");
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

  /** Counts an attempt to replace a lost connection. */
  void reconnected() {
    reconnects.inc();
  }

  void silentConnection() {
    silent.inc();
  }

  /** Counts an answer without a pending call. */
  void droppedAnswer() {
    droppedAnswers.inc();
  }

  /** Counts a frame that is not a call, or a duplicate call. */
  void droppedCall() {
    droppedCalls.inc();
  }

  void handshakeRejected() {
    rejectedHandshakes.inc();
  }
}
