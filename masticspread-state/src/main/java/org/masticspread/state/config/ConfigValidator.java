package org.masticspread.state.config;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;
import java.util.regex.Pattern;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.Names;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.resource.ResourceVector;

/**
 * Finds the faults of a configuration before it is applied.
 *
 * <p>Example: {@code ConfigValidator.validate(configuration).isEmpty()}.
 */
public final class ConfigValidator {
  private static final double FLOOR_TOLERANCE = 1e-9;
  private static final int MAX_WEIGHT = 1_000_000;
  private static final Duration MAX_ANSWER_TIME = Duration.ofHours(1);

  /** Marks a stand-in of the embedded platform. */
  private static final String EMBEDDED = "embedded:";

  private static final Pattern ADDRESS =
      Pattern.compile("(https?://)?([A-Za-z0-9.-]+|\\[[0-9A-Fa-f:.]+\\]):([0-9]{1,5})(/\\S*)?");
  private static final int MAX_PORT = 65_535;

  private final Configuration configuration;
  private final List<ConfigProblem> problems = new ArrayList<>();
  private final Map<PoolId, PoolConfig> pools = new HashMap<>();
  private final Map<TeamId, TeamConfig> teams = new HashMap<>();

  private ConfigValidator(Configuration configuration) {
    this.configuration = configuration;
    configuration.pools().forEach(pool -> pools.putIfAbsent(pool.name(), pool));
    configuration.teams().forEach(team -> teams.putIfAbsent(team.name(), team));
  }

  /**
   * Lists the faults of a configuration.
   *
   * @param configuration the configuration
   * @return the faults in the order of the fields; empty if there are none
   */
  public static List<ConfigProblem> validate(Configuration configuration) {
    ConfigValidator check = new ConfigValidator(configuration);
    check.checkPools();
    check.checkTeams();
    check.checkWorkClasses();
    check.checkEndpoints();
    check.checkWorkers();
    return List.copyOf(check.problems);
  }

  private void checkPools() {
    unique("pools", configuration.pools(), PoolConfig::name);
    each(
        "pools",
        configuration.pools(),
        (path, pool) -> {
          present(path + ".name", pool.name());
          rule(!pool.dataCentres().isEmpty(), path + ".dataCentres", "must name at least one");
        });
  }

  private void checkTeams() {
    unique("teams", configuration.teams(), TeamConfig::name);
    Map<PoolId, Double> floors = new HashMap<>();
    each(
        "teams",
        configuration.teams(),
        (path, team) -> {
          present(path + ".name", team.name());
          checkPool(path, team.pool(), team.retired());
          rule(
              team.weight() >= 1 && team.weight() <= MAX_WEIGHT,
              path + ".weight",
              "must be from 1 to " + MAX_WEIGHT);
          checkFloor(path + ".floor", team.floor());
          if (!team.retired() && team.pool() != null) {
            double sum = floors.merge(team.pool(), team.floor(), Double::sum);
            rule(
                sum <= 1 + FLOOR_TOLERANCE,
                path + ".floor",
                "the floors of pool " + team.pool() + " add up to more than 1");
          }
        });
  }

  private void checkWorkClasses() {
    unique("workClasses", configuration.workClasses(), WorkClassConfig::key);
    Map<TeamId, Double> floors = new HashMap<>();
    each(
        "workClasses",
        configuration.workClasses(),
        (path, workClass) -> {
          present(path + ".name", workClass.name());
          checkWorkClass(path, workClass);
          if (!workClass.retired() && workClass.team() != null) {
            double sum = floors.merge(workClass.team(), workClass.floor(), Double::sum);
            rule(
                sum <= 1 + FLOOR_TOLERANCE,
                path + ".floor",
                "the floors of team " + workClass.team() + " add up to more than 1");
          }
        });
  }

  private void checkWorkClass(String path, WorkClassConfig workClass) {
    TeamConfig team = teams.get(workClass.team());
    rule(team != null, path + ".team", "there is no team " + workClass.team());
    rule(
        team == null || !team.retired() || workClass.retired(),
        path + ".team",
        "team " + workClass.team() + " is retired");
    present(path + ".urgency", workClass.urgency());
    checkFloor(path + ".floor", workClass.floor());
    Duration within = workClass.answerWithin();
    rule(
        within != null
            && !within.isNegative()
            && !within.isZero()
            && within.compareTo(MAX_ANSWER_TIME) <= 0,
        path + ".answerWithin",
        "must be longer than zero and at most " + MAX_ANSWER_TIME);
    rule(
        workClass.expectedRatePerSecond() >= 0
            && Double.isFinite(workClass.expectedRatePerSecond()),
        path + ".expectedRatePerSecond",
        "must be zero or more");
    rule(workClass.queueLimit() >= 1, path + ".queueLimit", "must be at least 1");
    rule(workClass.queueLimitBytes() >= 1, path + ".queueLimitBytes", "must be at least 1");
  }

  private void checkEndpoints() {
    unique("endpoints", configuration.endpoints(), EndpointConfig::name);
    each(
        "endpoints",
        configuration.endpoints(),
        (path, endpoint) -> {
          present(path + ".name", endpoint.name());
          checkPlace(path, endpoint.pool(), endpoint.dataCentre(), endpoint.address());
          rule(endpoint.slots() >= 1, path + ".slots", "must be at least 1");
          rule(endpoint.connections() >= 1, path + ".connections", "must be at least 1");
          present(path + ".state", endpoint.state());
        });
  }

  private void checkWorkers() {
    unique("workers", configuration.workers(), WorkerConfig::name);
    each(
        "workers",
        configuration.workers(),
        (path, worker) -> {
          present(path + ".name", worker.name());
          present(path + ".rack", worker.rack());
          checkPlace(path, worker.pool(), worker.dataCentre(), worker.address());
          ResourceVector capacity = worker.capacity();
          rule(
              capacity != null && capacity.millicores() > 0 && capacity.memoryBytes() > 0,
              path + ".capacity",
              "must have processors and memory");
          present(path + ".state", worker.state());
        });
    checkRacks();
  }

  private void checkRacks() {
    Map<Object, DataCentreId> racks = new HashMap<>();
    each(
        "workers",
        configuration.workers(),
        (path, worker) -> {
          DataCentreId first = racks.putIfAbsent(worker.rack(), worker.dataCentre());
          rule(
              first == null || first.equals(worker.dataCentre()),
              path + ".dataCentre",
              "rack " + worker.rack() + " is in data centre " + first);
        });
  }

  private void checkPlace(String path, PoolId pool, DataCentreId dataCentre, String address) {
    checkPool(path, pool, true);
    PoolConfig found = pools.get(pool);
    rule(
        found == null || found.dataCentres().contains(dataCentre),
        path + ".dataCentre",
        "pool " + pool + " is not in data centre " + dataCentre);
    rule(
        isAddress(address),
        path + ".address",
        "must be host:port, a URL with a port, or embedded:NAME");
  }

  private void checkPool(String path, PoolId pool, boolean mayBeRetired) {
    PoolConfig found = pools.get(pool);
    rule(found != null, path + ".pool", "there is no pool " + pool);
    rule(
        found == null || mayBeRetired || !found.retired(),
        path + ".pool",
        "pool " + pool + " is retired");
  }

  private static boolean isAddress(String address) {
    if (address == null) {
      return false;
    }
    if (address.startsWith(EMBEDDED)) {
      return Names.isValid(address.substring(EMBEDDED.length()));
    }
    var matcher = ADDRESS.matcher(address);
    if (!matcher.matches()) {
      return false;
    }
    int port = Integer.parseInt(matcher.group(3));
    return port >= 1 && port <= MAX_PORT;
  }

  private void checkFloor(String field, double floor) {
    rule(floor >= 0 && floor <= 1, field, "must be from 0 to 1");
  }

  private void present(String field, Object value) {
    rule(value != null, field, "is missing");
  }

  private void rule(boolean holds, String field, String message) {
    if (!holds) {
      problems.add(new ConfigProblem(field, message));
    }
  }

  private <T> void unique(String section, List<T> items, Function<T, Object> name) {
    Set<Object> seen = new HashSet<>();
    each(
        section,
        items,
        (path, item) -> {
          Object key = name.apply(item);
          rule(key == null || seen.add(key), path + ".name", key + " is there twice");
        });
  }

  /** Gets an element and its path. */
  private interface Visitor<T> {
    void visit(String path, T item);
  }

  private static <T> void each(String section, List<T> items, Visitor<T> visitor) {
    for (int i = 0; i < items.size(); i++) {
      visitor.visit(section + "[" + i + "]", items.get(i));
    }
  }
}
