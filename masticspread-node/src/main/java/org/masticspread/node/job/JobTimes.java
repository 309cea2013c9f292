package org.masticspread.node.job;

import java.time.Duration;

/**
 * The times of work-shard owners.
 *
 * @param placeWindow how long a task that was sent to a rack owner may still start
 * @param placeTimeout how long to wait for the answer of a rack owner
 * @param skewMargin the greatest difference of two clocks
 * @param settle how long reports of ended tasks may take to reach a new owner
 * @param hold how long a change may wait for the store when no caller waits for it
 */
public record JobTimes(
    Duration placeWindow,
    Duration placeTimeout,
    Duration skewMargin,
    Duration settle,
    Duration hold) {}
