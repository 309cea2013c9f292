package org.masticspread.cell.engine;

import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.masticspread.cell.policy.TeamRate;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.TeamRule;
import org.masticspread.model.cell.Teams;

/**
 * Marks new jobs as owed to their teams or as excess, and remembers the marks of refused jobs,
 * since their callers return with the same ids. Confined to the cell's thread.
 *
 * <p>All is in memory. After a takeover, the buckets are full and each refused job is new.
 */
final class TeamMarks {
  /**
   * Number of refused jobs of a team whose marks are remembered. A team that is refused more often
   * while its callers wait displaces its own marks only.
   */
  private static final int MAX_REMEMBERED = 1024;

  private final InstantSource clock;
  private final Map<String, Marks> marksByTeam = new HashMap<>();

  TeamMarks(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Marks a job that is not accepted yet, and takes a token of its team if it is new. A job that
   * returns keeps its mark, except that excess is owed once its team has used less than its weight.
   * A job without a team of the configuration is owed.
   *
   * @return whether the job is excess
   */
  boolean excess(JobOrder order, Teams teams) {
    Optional<TeamRule> team = teams.find(order.team());
    if (team.isEmpty()) {
      return false;
    }
    Marks marks = marks(team.get());
    Boolean mark = marks.refused.remove(order.id());
    if (mark == null) {
      return !marks.rate.take(team.get().weight(), clock.millis());
    }
    return mark && !marks.rate.takeForReturning(team.get().weight(), clock.millis());
  }

  /** Remembers the mark of a job that is refused. */
  void refused(JobOrder order, boolean excess) {
    Marks marks = marksByTeam.get(order.team());
    if (marks == null) {
      return;
    }
    marks.refused.put(order.id(), excess);
    if (marks.refused.size() > MAX_REMEMBERED) {
      marks.refused.remove(marks.refused.keySet().iterator().next());
    }
  }

  /** Returns when the caller of refused excess should return. */
  Duration retryAfter(JobOrder order, Teams teams) {
    return marks(teams.find(order.team()).orElseThrow()).rate.scheduleRetry(clock.millis());
  }

  /** Forgets the teams that have left the configuration. */
  void configure(Teams teams) {
    marksByTeam.keySet().removeIf(team -> teams.find(team).isEmpty());
  }

  private Marks marks(TeamRule team) {
    return marksByTeam.computeIfAbsent(
        team.name(), name -> new Marks(new TeamRate(team.weight(), clock.millis())));
  }

  /** The bucket of a team, and whether its refused jobs were excess, in the order of refusal. */
  private record Marks(TeamRate rate, Map<String, Boolean> refused) {
    Marks(TeamRate rate) {
      this(rate, new LinkedHashMap<>());
    }
  }
}
