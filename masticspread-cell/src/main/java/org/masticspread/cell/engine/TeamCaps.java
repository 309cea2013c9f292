package org.masticspread.cell.engine;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.TeamRecord;
import org.masticspread.cell.port.TableCommit.RowName;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.cell.TeamRule;
import org.masticspread.model.resource.ResourceVector;

/**
 * The caps of the teams, by the newest configuration that this leader or a former one has used. A
 * team that has left the configuration keeps its last cap for its accepted jobs; it is stored, so
 * that a later leader knows it too. Confined to the cell's thread.
 */
final class TeamCaps {
  private final CellPorts ports;

  /** The caps that are stored or about to be, by the names of their teams. */
  private final Map<String, TeamRecord> stored = new HashMap<>();

  private CellConfig config;

  TeamCaps(CellPorts ports, CellConfig config) {
    this.ports = ports;
    this.config = config;
  }

  /** Returns whether any team is known. */
  boolean exist() {
    return !config.teams().isEmpty() || !stored.isEmpty();
  }

  /** Returns the cap of a team; zero of each resource if the team is not known. */
  ResourceVector cap(String team) {
    return find(team).orElse(ResourceVector.ZERO);
  }

  /** Returns the cap of a team, if the team is known. */
  Optional<ResourceVector> find(String team) {
    TeamRecord record = stored.get(team);
    if (record != null && record.configVersion() > config.version()) {
      return Optional.of(record.cap());
    }
    Optional<ResourceVector> current = config.teams().find(team).map(TeamRule::cap);
    return current.or(() -> Optional.ofNullable(record).map(TeamRecord::cap));
  }

  /** Returns whether a new job may name a team. */
  boolean accepts(String team) {
    return team.isEmpty() || config.teams().isEmpty() || find(team).isPresent();
  }

  /** Returns the names of all known teams. */
  Collection<String> names() {
    Stream<String> configured = config.teams().all().stream().map(TeamRule::name);
    return Stream.concat(configured, stored.keySet().stream()).distinct().toList();
  }

  /** Restores a cap that an earlier leader stored. */
  void restore(TeamRecord record) {
    stored.put(record.name(), record);
  }

  /** Applies a newer configuration, which may change caps and drop teams. */
  void configure(CellConfig newer) {
    config = newer;
    List.copyOf(stored.keySet()).forEach(this::store);
  }

  /** Stores the cap of a team with the next commit, unless a newer one is stored. */
  void store(String team) {
    TeamRecord old = stored.get(team);
    if (old != null && old.configVersion() >= config.version()) {
      return;
    }
    Optional<TeamRule> rule = config.teams().find(team);
    if (rule.isEmpty()) {
      return;
    }
    TeamRecord record = new TeamRecord(team, rule.get().cap(), config.version());
    stored.put(team, record);
    ports.journal().put(row(team), () -> Rows.encode(record));
  }

  /** Stores the caps of the teams of restored jobs, and deletes those that no job needs. */
  void update(Iterable<Job> openJobs) {
    if (!exist()) {
      return;
    }
    Set<String> needed = new HashSet<>();
    openJobs.forEach(job -> needed.add(job.order.team()));
    needed.forEach(this::store);
    for (String team : List.copyOf(stored.keySet())) {
      if (!needed.contains(team) && config.teams().find(team).isEmpty()) {
        stored.remove(team);
        ports.journal().remove(row(team));
      }
    }
  }

  private static RowName row(String team) {
    return new RowName(Rows.TEAM_TABLE, team);
  }
}
