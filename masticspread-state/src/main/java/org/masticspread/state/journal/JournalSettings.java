package org.masticspread.state.journal;

import java.time.Duration;

/**
 * The limits of a journal.
 *
 * @param maxBatchRecords the maximum number of records in one row
 * @param maxBatchBytes the size of records in bytes at which a row is full
 * @param maxPendingRecords the maximum number of queued records; further records are refused as not
 *     written
 * @param backoffBase the maximum backoff after the first failed flush
 * @param backoffMax the maximum backoff after any failed flush
 */
public record JournalSettings(
    int maxBatchRecords,
    int maxBatchBytes,
    int maxPendingRecords,
    Duration backoffBase,
    Duration backoffMax) {
  /** 2,000 records or 256 KiB per row, 50,000 queued records, backoff from 50 ms to 2 s. */
  public static final JournalSettings DEFAULT =
      new JournalSettings(2_000, 256 * 1024, 50_000, Duration.ofMillis(50), Duration.ofSeconds(2));

  /**
   * Returns the flush interval that keeps the journals of all VMs within a total write rate.
   *
   * @param liveVms the number of live VMs, at least 1
   * @param writesPerSecond the journal writes per second of all VMs together
   * @return the flush interval of each VM
   */
  public static Duration flushInterval(int liveVms, double writesPerSecond) {
    return Duration.ofNanos((long) (Math.max(1, liveVms) / writesPerSecond * 1e9));
  }
}
