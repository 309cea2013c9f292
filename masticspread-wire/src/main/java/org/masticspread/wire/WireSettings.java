package org.masticspread.wire;

import java.time.Duration;

/**
 * Limits of the inner protocol.
 *
 * @param heartbeat the time between two heartbeats; a connection on which nothing came for two of
 *     them is silent
 * @param connectTimeout the longest time to open a connection and to authenticate
 * @param mostFrameBytes the largest frame after authentication, in bytes
 * @param mostInFlight the most calls that wait for an answer, for each peer
 * @param mostQueuedBytes the most bytes that wait to be written, for each connection
 * @param firstBackoff the wait after the first failed attempt to connect
 * @param longestBackoff the longest wait between two attempts to connect
 * @param closeTimeout how long a close waits for calls in flight
 */
public record WireSettings(
    Duration heartbeat,
    Duration connectTimeout,
    int mostFrameBytes,
    int mostInFlight,
    int mostQueuedBytes,
    Duration firstBackoff,
    Duration longestBackoff,
    Duration closeTimeout) {
  private static final int MEBIBYTE = 1024 * 1024;

  /**
   * Returns a heartbeat of 1 s, 2 s to connect, 16 MiB frames, 4096 calls and 8 MiB in the queue of
   * each peer, a backoff from 50 ms to 2 s and 10 s to close.
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
