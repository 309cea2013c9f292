package org.masticspread.cell.journal;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.cell.QueueRule;

/**
 * What the newest rule of a queue says about its accepted jobs, stored so that they run on if the
 * queue leaves the configuration. It is written with the first of the jobs and when it changes.
 *
 * @param name the name of the queue
 * @param endpoint the endpoint whose workers run the tasks
 * @param target the time that a job may take in addition to its stretched run time
 * @param priority the priority; 0 is the highest
 * @param mostFailures the maximum number of failures of a task
 * @param stretch the factor by which a job may exceed its run time
 * @param advice the advice rule, if an advisor approves the workers; at most one
 */
public record QueueRecord(
    String name,
    String endpoint,
    Duration target,
    int priority,
    int mostFailures,
    double stretch,
    List<AdviceRule> advice) {
  /** Checks that no field is missing, and copies the list. */
  public QueueRecord {
    Objects.requireNonNull(name, "name");
    Objects.requireNonNull(endpoint, "endpoint");
    Objects.requireNonNull(target, "target");
    advice = List.copyOf(advice);
  }

  /**
   * Creates the record of a rule.
   *
   * @param rule the rule
   * @return the record
   */
  public static QueueRecord of(QueueRule rule) {
    return new QueueRecord(
        rule.name(),
        rule.endpoint(),
        rule.target(),
        rule.priority(),
        rule.mostFailures(),
        rule.stretch(),
        rule.advice().stream().toList());
  }

  /**
   * Returns the rule, without what it says about calls.
   *
   * @return the rule; no call matches it
   */
  public QueueRule rule() {
    return new QueueRule(
        name,
        "",
        "",
        endpoint,
        Duration.ZERO,
        target,
        priority,
        mostFailures,
        stretch,
        advice.stream().findFirst());
  }
}
