package org.masticspread.platform.http;

import java.time.Duration;

/**
 * Limits of the adapters.
 *
 * @param connectTimeout the longest time to open a connection
 * @param callTimeout the longest time for a whole call to a store, list or worker
 * @param mostAnswerBytes the largest answer that is read, in bytes
 */
public record HttpSettings(Duration connectTimeout, Duration callTimeout, int mostAnswerBytes) {
  private static final int MEBIBYTE = 1024 * 1024;

  /**
   * Returns 1 s to connect, 5 s for a call and answers up to 32 MiB.
   *
   * @return the settings
   */
  public static HttpSettings defaults() {
    return new HttpSettings(Duration.ofSeconds(1), Duration.ofSeconds(5), 32 * MEBIBYTE);
  }
}
