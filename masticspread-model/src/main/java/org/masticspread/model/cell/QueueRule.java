package org.masticspread.model.cell;

import java.time.Duration;
import java.util.Optional;

/**
 * The configuration of a queue: the endpoint that runs its jobs, and their service objectives.
 *
 * @param name the name
 * @param host the host name that callers use
 * @param pathPrefix the path prefix; the longest matching one is chosen
 * @param endpoint the endpoint whose workers run the tasks
 * @param timeout the timeout of calls about a job
 * @param target the time that a job may take in addition to its stretched run time
 * @param priority the priority; 0 is the highest
 * @param mostFailures the maximum number of failures of a task
 * @param stretch the factor by which a job may exceed its run time
 * @param advice the advice rule, if an advisor approves the workers
 * @param publicAccess whether calls need no key
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
    Optional<AdviceRule> advice,
    boolean publicAccess) {

  /** Creates a rule of a queue whose calls need a key if the configuration has teams. */
  public QueueRule(
      String name,
      String host,
      String pathPrefix,
      String endpoint,
      Duration timeout,
      Duration target,
      int priority,
      int mostFailures,
      double stretch,
      Optional<AdviceRule> advice) {
    this(
        name,
        host,
        pathPrefix,
        endpoint,
        timeout,
        target,
        priority,
        mostFailures,
        stretch,
        advice,
        false);
  }
}
