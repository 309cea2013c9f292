package org.masticspread.policy.placement;

import java.time.Instant;

/**
 * A point in the history of a {@link RackLedger}, taken before a worker is asked for its report.
 *
 * @param sequence the number of the last change that the report can tell of
 * @param at when it was taken
 */
public record LedgerPosition(long sequence, Instant at) {}
