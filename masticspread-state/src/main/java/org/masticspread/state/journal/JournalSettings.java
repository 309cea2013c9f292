package org.masticspread.state.journal;

import java.time.Duration;

/**
 * The limits of a journal.
 *
 * @param maxBatchRecords the most records in one row
 * @param maxBatchBytes the bytes of records after which a row is full
 * @param maxPendingRecords the most records that wait; more are refused as not written
 * @param backoffBase the greatest wait after the first failed flush
 * @param backoffMax the greatest wait after any failed flush
 */
public record JournalSettings(
    int maxBatchRecords,
    int maxBatchBytes,
    int maxPendingRecords,
    Duration backoffBase,
    Duration backoffMax) {
  /** 2,000 records or 256 KiB in a row, 50,000 waiting, backoff from 50 ms to 2 s. */
  public static final JournalSettings DEFAULT =
      new JournalSettings(2_000, 256 * 1024, 50_000, Duration.ofMillis(50), Duration.ofSeconds(2));

  /**
   * Returns the flush interval that keeps the journals of a fleet within a rate of writes.
   *
   * @param liveVms the VMs that are live, at least 1
   * @param writesPerSecond the journal writes per second of the whole fleet
   * @return the interval of each VM
   */
  public static Duration flushInterval(int liveVms, double writesPerSecond) {
    return Duration.ofNanos((long) (Math.max(1, liveVms) / writesPerSecond * 1e9));
  }
}
