package org.masticspread.cell.engine;

import java.time.Duration;

/**
 * What the platform's contract sets for a cell.
 *
 * @param maxLease the longest lease that a worker grants
 * @param stopGracePeriod how long a stopped task may go on
 * @param gangTimeout how long members of a gang wait for each other
 * @param endedJobRetention how long an ended job is shown
 * @param crossRackSlowdown how many times longer a task takes away from its data or its gang's rack
 * @param plannedAbsenceNotice how long before a planned absence a task counts as away
 */
public record CellLimits(
    Duration maxLease,
    Duration stopGracePeriod,
    Duration gangTimeout,
    Duration endedJobRetention,
    double crossRackSlowdown,
    Duration plannedAbsenceNotice) {}
