package org.masticspread.policy.placement;

import java.time.Instant;

/**
 * A position in the change history of a {@link RackLedger}, taken before requesting a report.
 *
 * @param sequence the sequence number of the last change that the report reflects for certain
 * @param at when the position was taken
 */
public record LedgerPosition(long sequence, Instant at) {}
