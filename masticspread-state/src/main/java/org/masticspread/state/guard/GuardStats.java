package org.masticspread.state.guard;

/**
 * The call statistics of a {@link StoreGuard}.
 *
 * @param reads the read calls
 * @param writes the write calls
 * @param rowsWritten the rows and objects in write calls
 * @param failures the calls that failed at the store
 * @param refused the calls that the guard refused
 * @param retries the reads that were retried
 * @param slow the calls that took longer than {@link GuardSettings#slowAfter}
 * @param storeNanos the time spent in calls, in nanoseconds
 */
public record GuardStats(
    long reads,
    long writes,
    long rowsWritten,
    long failures,
    long refused,
    long retries,
    long slow,
    long storeNanos) {}
