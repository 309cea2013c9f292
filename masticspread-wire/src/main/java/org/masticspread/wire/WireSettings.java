package org.masticspread.wire;

import java.time.Duration;

/**
 * The settings of the peer protocol.
 *
 * @param heartbeatInterval the heartbeat interval; a connection on which nothing is received for
 *     two intervals counts as silent and is closed
 * @param connectTimeout the timeout for opening a connection, and for its handshake
 * @param maxFrameBytes the maximum frame size after authentication, in bytes
 * @param maxInFlightCalls the maximum number of calls in flight per peer
 * @param maxQueuedBytes the maximum size of the write queue of each connection, in bytes
 * @param initialBackoff the maximum backoff after the first failed attempt to connect
 * @param maxBackoff the maximum backoff between two attempts to connect
 * @param closeTimeout how long closing waits for calls in flight
 */
public record WireSettings(
    Duration heartbeatInterval,
    Duration connectTimeout,
    int maxFrameBytes,
    int maxInFlightCalls,
    int maxQueuedBytes,
    Duration initialBackoff,
    Duration maxBackoff,
    Duration closeTimeout) {
  private static final int MEBIBYTE = 1024 * 1024;

  /**
   * Returns the default settings: heartbeats every 1 s, a connect timeout of 2 s, frames up to 16
   * MiB, 4096 calls in flight and 8 MiB of queued writes per peer, a backoff from 50 ms to 2 s and
   * a close timeout of 10 s.
   *
   * @return the settings
   */
  public static WireSettings defaults() {
    return new WireSettings(
        Duration.ofSeconds(1),
        Duration.ofSeconds(2),
        16 * MEBIBYTE,
        4096,
        8 * MEBIBYTE,
        Duration.ofMillis(50),
        Duration.ofSeconds(2),
        Duration.ofSeconds(10));
  }
}
