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
 * Validates a configuration before it is applied.
 *
 * <p>Example: {@code ConfigValidator.validate(configuration).isEmpty()}.
 */
public final class ConfigValidator {
  private static final double FLOOR_TOLERANCE = 1e-9;
  private static final int MAX_WEIGHT = 1_000_000;
  private static final Duration MAX_ANSWER_WITHIN = Duration.ofHours(1);

  /** The address prefix of the embedded platform's simulated endpoints and workers. */
  private static final String EMBEDDED_PREFIX = "embedded:";

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
   * Validates a configuration.
   *
   * @param configuration the configuration
   * @return the problems in the order of the sections; empty if the configuration is valid
   */
  public static List<ConfigProblem> validate(Configuration configuration) {
    ConfigValidator validator = new ConfigValidator(configuration);
    validator.checkPools();
    validator.checkTeams();
    validator.checkWorkClasses();
    validator.checkEndpoints();
    validator.checkWorkers();
    return List.copyOf(validator.problems);
  }

  private void checkPools() {
    requireUnique("pools", configuration.pools(), PoolConfig::name);
    forEach(
        "pools",
        configuration.pools(),
        (path, pool) -> {
          requirePresent(path + ".name", pool.name());
          check(!pool.dataCentres().isEmpty(), path + ".dataCentres", "must name at least one");
        });
  }

  private void checkTeams() {
    requireUnique("teams", configuration.teams(), TeamConfig::name);
    Map<PoolId, Double> floors = new HashMap<>();
    forEach(
        "teams",
        configuration.teams(),
        (path, team) -> {
          requirePresent(path + ".name", team.name());
          checkPool(path, team.pool(), team.retired());
          check(
              team.weight() >= 1 && team.weight() <= MAX_WEIGHT,
              path + ".weight",
              "must be from 1 to " + MAX_WEIGHT);
          checkFloor(path + ".floor", team.floor());
          if (!team.retired() && team.pool() != null) {
            double sum = floors.merge(team.pool(), team.floor(), Double::sum);
            check(
                sum <= 1 + FLOOR_TOLERANCE,
                path + ".floor",
                "the floors of pool " + team.pool() + " add up to more than 1");
          }
        });
  }

  private void checkWorkClasses() {
    requireUnique("workClasses", configuration.workClasses(), WorkClassConfig::key);
    Map<TeamId, Double> floors = new HashMap<>();
    forEach(
        "workClasses",
        configuration.workClasses(),
        (path, workClass) -> {
          requirePresent(path + ".name", workClass.name());
          checkWorkClass(path, workClass);
          if (!workClass.retired() && workClass.team() != null) {
            double sum = floors.merge(workClass.team(), workClass.floor(), Double::sum);
            check(
                sum <= 1 + FLOOR_TOLERANCE,
                path + ".floor",
                "the floors of team " + workClass.team() + " add up to more than 1");
          }
        });
  }

  private void checkWorkClass(String path, WorkClassConfig workClass) {
    TeamConfig team = teams.get(workClass.team());
    check(team != null, path + ".team", "there is no team " + workClass.team());
    check(
        team == null || !team.retired() || workClass.retired(),
        path + ".team",
        "team " + workClass.team() + " is retired");
    requirePresent(path + ".urgency", workClass.urgency());
    checkFloor(path + ".floor", workClass.floor());
    Duration within = workClass.answerWithin();
    check(
        within != null
            && !within.isNegative()
            && !within.isZero()
            && within.compareTo(MAX_ANSWER_WITHIN) <= 0,
        path + ".answerWithin",
        "must be longer than zero and at most " + MAX_ANSWER_WITHIN);
    check(
        workClass.expectedRatePerSecond() >= 0
            && Double.isFinite(workClass.expectedRatePerSecond()),
        path + ".expectedRatePerSecond",
        "must be zero or more");
    check(workClass.queueLimit() >= 1, path + ".queueLimit", "must be at least 1");
    check(workClass.queueLimitBytes() >= 1, path + ".queueLimitBytes", "must be at least 1");
  }

  private void checkEndpoints() {
    requireUnique("endpoints", configuration.endpoints(), EndpointConfig::name);
    forEach(
        "endpoints",
        configuration.endpoints(),
        (path, endpoint) -> {
          requirePresent(path + ".name", endpoint.name());
          checkPlace(path, endpoint.pool(), endpoint.dataCentre(), endpoint.address());
          check(endpoint.slots() >= 1, path + ".slots", "must be at least 1");
          check(endpoint.connections() >= 1, path + ".connections", "must be at least 1");
          requirePresent(path + ".state", endpoint.state());
        });
  }

  private void checkWorkers() {
    requireUnique("workers", configuration.workers(), WorkerConfig::name);
    forEach(
        "workers",
        configuration.workers(),
        (path, worker) -> {
          requirePresent(path + ".name", worker.name());
          requirePresent(path + ".rack", worker.rack());
          checkPlace(path, worker.pool(), worker.dataCentre(), worker.address());
          ResourceVector capacity = worker.capacity();
          check(
              capacity != null && capacity.millicores() > 0 && capacity.memoryBytes() > 0,
              path + ".capacity",
              "must have processors and memory");
          requirePresent(path + ".state", worker.state());
        });
    checkRacks();
  }

  private void checkRacks() {
    Map<Object, DataCentreId> racks = new HashMap<>();
    forEach(
        "workers",
        configuration.workers(),
        (path, worker) -> {
          DataCentreId first = racks.putIfAbsent(worker.rack(), worker.dataCentre());
          check(
              first == null || first.equals(worker.dataCentre()),
              path + ".dataCentre",
              "rack " + worker.rack() + " is in data centre " + first);
        });
  }

  private void checkPlace(String path, PoolId pool, DataCentreId dataCentre, String address) {
    checkPool(path, pool, true);
    PoolConfig found = pools.get(pool);
    check(
        found == null || found.dataCentres().contains(dataCentre),
        path + ".dataCentre",
        "pool " + pool + " is not in data centre " + dataCentre);
    check(
        isAddress(address),
        path + ".address",
        "must be host:port, a URL with a port, or embedded:NAME");
  }

  private void checkPool(String path, PoolId pool, boolean mayBeRetired) {
    PoolConfig found = pools.get(pool);
    check(found != null, path + ".pool", "there is no pool " + pool);
    check(
        found == null || mayBeRetired || !found.retired(),
        path + ".pool",
        "pool " + pool + " is retired");
  }

  private static boolean isAddress(String address) {
    if (address == null) {
      return false;
    }
    if (address.startsWith(EMBEDDED_PREFIX)) {
      return Names.isValid(address.substring(EMBEDDED_PREFIX.length()));
    }
    var matcher = ADDRESS.matcher(address);
    if (!matcher.matches()) {
      return false;
    }
    int port = Integer.parseInt(matcher.group(3));
    return port >= 1 && port <= MAX_PORT;
  }

  private void checkFloor(String field, double floor) {
    check(floor >= 0 && floor <= 1, field, "must be from 0 to 1");
  }

  private void requirePresent(String field, Object value) {
    check(value != null, field, "is missing");
  }

  private void check(boolean holds, String field, String message) {
    if (!holds) {
      problems.add(new ConfigProblem(field, message));
    }
  }

  private <T> void requireUnique(String section, List<T> items, Function<T, Object> name) {
    Set<Object> seen = new HashSet<>();
    forEach(
        section,
        items,
        (path, item) -> {
          Object key = name.apply(item);
          check(key == null || seen.add(key), path + ".name", key + " is there twice");
        });
  }

  /** Receives an element of a section and its path. */
  private interface ElementVisitor<T> {
    void visit(String path, T item);
  }

  private static <T> void forEach(String section, List<T> items, ElementVisitor<T> visitor) {
    for (int i = 0; i < items.size(); i++) {
      visitor.visit(section + "[" + i + "]", items.get(i));
    }
  }
}
