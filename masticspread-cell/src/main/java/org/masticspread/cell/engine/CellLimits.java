package org.masticspread.cell.engine;

import java.time.Duration;

/**
 * What the platform's contract sets for a cell.
 *
 * @param longestLease the longest lease that a worker grants
 * @param stopTime how long a stopped task may go on
 * @param gangTimeout how long members of a gang wait for each other
 * @param statusKept how long an ended job is shown
 * @param farSlowdown how many times longer a task takes away from its data or its gang's rack
 * @param notice how long before a planned absence a task counts as away
 */
public record CellLimits(
    Duration longestLease,
    Duration stopTime,
    Duration gangTimeout,
    Duration statusKept,
    double farSlowdown,
    Duration notice) {}
