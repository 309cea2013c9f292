package org.masticspread.node.rack;

import java.time.Duration;

/**
 * The times of rack owners.
 *
 * @param lease how long a task on a worker runs without a renewal
 * @param skewMargin the greatest difference of two clocks
 * @param startWindow how long a start may take to reach its worker
 */
public record RackTimes(Duration lease, Duration skewMargin, Duration startWindow) {}
