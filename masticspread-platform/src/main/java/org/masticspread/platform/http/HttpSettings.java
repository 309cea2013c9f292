package org.masticspread.platform.http;

import java.time.Duration;

/**
 * Timeouts and limits of the HTTP adapters.
 *
 * @param connectTimeout the timeout for opening a connection
 * @param callTimeout the timeout of a whole call to a store, the membership list or a worker
 * @param maxAnswerBytes the maximum size of an answer, in bytes
 */
public record HttpSettings(Duration connectTimeout, Duration callTimeout, int maxAnswerBytes) {
  private static final int MEBIBYTE = 1024 * 1024;

  /**
   * Returns the defaults: 1 s to connect, 5 s per call and answers of up to 32 MiB.
   *
   * @return the settings
   */
  public static HttpSettings defaults() {
    return new HttpSettings(Duration.ofSeconds(1), Duration.ofSeconds(5), 32 * MEBIBYTE);
  }
}
