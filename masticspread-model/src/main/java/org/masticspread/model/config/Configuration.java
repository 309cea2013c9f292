package org.masticspread.model.config;

import java.util.List;
import java.util.Optional;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.TeamId;

/**
 * One revision of the complete configuration of a cell.
 *
 * @param revision the revision; 0 for the empty configuration before the first change
 * @param pools the pools
 * @param teams the teams
 * @param workClasses the work classes
 * @param endpoints the endpoints
 * @param workers the workers
 */
public record Configuration(
    long revision,
    List<PoolConfig> pools,
    List<TeamConfig> teams,
    List<WorkClassConfig> workClasses,
    List<EndpointConfig> endpoints,
    List<WorkerConfig> workers) {

  /** The configuration before the first change. */
  public static final Configuration EMPTY =
      new Configuration(0, List.of(), List.of(), List.of(), List.of(), List.of());

  /** Copies the lists; null counts as an empty list. */
  public Configuration {
    pools = copy(pools);
    teams = copy(teams);
    workClasses = copy(workClasses);
    endpoints = copy(endpoints);
    workers = copy(workers);
  }

  private static <T> List<T> copy(List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }

  /**
   * Returns a copy with another revision.
   *
   * @param newRevision the revision
   * @return the configuration
   */
  public Configuration withRevision(long newRevision) {
    return new Configuration(newRevision, pools, teams, workClasses, endpoints, workers);
  }

  /**
   * Finds a team.
   *
   * @param team the team
   * @return its configuration, or empty if it does not exist
   */
  public Optional<TeamConfig> team(TeamId team) {
    return teams.stream().filter(t -> t.name().equals(team)).findFirst();
  }

  /**
   * Finds a work class.
   *
   * @param key the work class
   * @return its configuration, or empty if it does not exist
   */
  public Optional<WorkClassConfig> workClass(ClassKey key) {
    return workClasses.stream().filter(c -> c.key().equals(key)).findFirst();
  }
}
