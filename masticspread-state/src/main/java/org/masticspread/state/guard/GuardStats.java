package org.masticspread.state.guard;

/**
 * What went through a {@link StoreGuard}.
 *
 * @param reads calls that read
 * @param writes calls that write
 * @param rowsWritten rows or objects in calls that write
 * @param failures calls that failed at the store
 * @param refused calls that were not let through
 * @param retries reads that were repeated
 * @param slow calls that took longer than the limit
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
