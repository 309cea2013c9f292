package org.masticspread.cell.engine;

import java.time.Duration;

/**
 * The limits and durations that the platform's contract sets for a cell.
 *
 * @param maxLease the maximum duration of a lease that a worker accepts
 * @param stopGracePeriod how long a task may keep running after a stop order
 * @param gangTimeout how long started members of a gang wait for the others
 * @param endedJobRetention how long the status of an ended job is kept
 * @param crossRackSlowdown the factor by which a task takes longer outside the rack of its data or
 *     its gang
 * @param plannedAbsenceNotice how long before a planned absence a task counts as unavailable
 */
public record CellLimits(
    Duration maxLease,
    Duration stopGracePeriod,
    Duration gangTimeout,
    Duration endedJobRetention,
    double crossRackSlowdown,
    Duration plannedAbsenceNotice) {}
