package org.masticspread.model.cell;

import java.time.Duration;
import java.util.Optional;

/**
 * A queue: which endpoint's workers run its jobs, and what their callers expect.
 *
 * @param name the name
 * @param host the host that callers name
 * @param pathPrefix the start of the path; the longest one that matches wins
 * @param endpoint whose workers run the tasks
 * @param timeout how long a call about a job may take
 * @param target the time that a job may take beyond the stretched run time
 * @param priority 0 goes first
 * @param mostFailures how often a task may fail
 * @param stretch how many times its run time a job may take
 * @param advice the advisor's rule, if one approves workers
 */
public record QueueRule(
    String name,
    String host,
    String pathPrefix,
    String endpoint,
    Duration timeout,
    Duration target,
    int priority,
    int mostFailures,
    double stretch,
    Optional<AdviceRule> advice) {}
