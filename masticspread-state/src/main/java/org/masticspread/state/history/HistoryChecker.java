package org.masticspread.state.history;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Finds the guarantees that a history violates.
 *
 * <p>Example: {@code HistoryChecker.check(events)} is empty for a history without violations.
 */
public final class HistoryChecker {
  private HistoryChecker() {}

  /**
   * Checks a whole history.
   *
   * @param events the events in any order, except that events of the same instant are in the order
   *     in which they occurred
   * @return the violations; empty if there are none
   */
  public static List<Violation> check(List<HistoryEvent> events) {
    List<HistoryEvent> ordered = new ArrayList<>(events);
    ordered.sort(Comparator.comparing(HistoryEvent::at));
    RequestRules requests = new RequestRules();
    JobRules jobs = new JobRules();
    ConfigRules config = new ConfigRules();
    for (HistoryEvent event : ordered) {
      requests.add(event);
      jobs.add(event);
      config.add(event);
    }
    List<Violation> violations = new ArrayList<>(requests.violations());
    violations.addAll(jobs.violations());
    violations.addAll(config.violations());
    return violations;
  }
}
