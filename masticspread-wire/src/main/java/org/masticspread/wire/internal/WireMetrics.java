package org.masticspread.wire.internal;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.net.SocketAddress;
import java.util.function.Predicate;
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
  private final Predicate<SocketAddress> otherRegion;

  /**
   * Creates the counters.
   *
   * @param registry the registry for the counters, which are named {@code wire.*} and, for the
   *     bytes of each message type, {@code bytes.out.peer.*} and {@code bytes.in.peer.*}
   */
  public WireMetrics(MetricRegistry registry) {
    this(registry, peer -> false);
  }

  /**
   * Creates the counters.
   *
   * @param registry the registry for the counters
   * @param otherRegion tells whether a peer is in another region, by its address; its bytes are
   *     counted as {@code bytes.out.region.peer.*} and {@code bytes.in.region.peer.*}
   */
  public WireMetrics(MetricRegistry registry, Predicate<SocketAddress> otherRegion) {
    this.registry = registry;
    this.otherRegion = otherRegion;
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

  void sent(SocketAddress peer, int kind, int bytes) {
    framesOut.inc();
    bytesOut.inc(bytes);
    count("out", peer, kind, bytes);
  }

  void received(SocketAddress peer, int kind, int bytes) {
    framesIn.inc();
    bytesIn.inc(bytes);
    count("in", peer, kind, bytes);
  }

  private void count(String direction, SocketAddress peer, int kind, int bytes) {
    String region = otherRegion.test(peer) ? ".region.peer." : ".peer.";
    registry.counter("bytes." + direction + region + MessageTypes.nameOf(kind)).inc(bytes);
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
