package org.masticspread.node.job;

import java.time.Duration;

/**
 * Time limits of work-shard owners.
 *
 * @param placeWindow period after dispatch to a rack owner in which a task may still start
 * @param placeTimeout timeout of a call to a rack owner
 * @param skewMargin maximum difference between the clocks of two machines
 * @param settlingPeriod maximum delay until reports of ended tasks have reached a new owner
 * @param appendTimeout how long a journal append that no caller waits for may be retried while the
 *     store is unavailable
 */
public record JobTimes(
    Duration placeWindow,
    Duration placeTimeout,
    Duration skewMargin,
    Duration settlingPeriod,
    Duration appendTimeout) {}
