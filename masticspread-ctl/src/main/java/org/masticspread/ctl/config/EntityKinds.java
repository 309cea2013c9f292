package org.masticspread.ctl.config;

import java.util.List;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.result.InvalidFieldException;

/** The kinds of configuration entries. */
public final class EntityKinds {
  /** Pools. */
  public static final EntityKind<PoolConfig> POOL =
      new EntityKind<>(
          "pool",
          "pools",
          Configuration::pools,
          (c, pools) ->
              new Configuration(
                  c.revision(), pools, c.teams(), c.workClasses(), c.endpoints(), c.workers()),
          p -> p.name().value(),
          EntityKinds::retirePool);

  /** Teams. */
  public static final EntityKind<TeamConfig> TEAM =
      new EntityKind<>(
          "team",
          "teams",
          Configuration::teams,
          (c, teams) ->
              new Configuration(
                  c.revision(), c.pools(), teams, c.workClasses(), c.endpoints(), c.workers()),
          t -> t.name().value(),
          EntityKinds::retireTeam);

  /** Work classes, identified by team and class name. */
  public static final EntityKind<WorkClassConfig> WORK_CLASS =
      new EntityKind<>(
          "work-class",
          "workClasses",
          Configuration::workClasses,
          (c, classes) ->
              new Configuration(
                  c.revision(), c.pools(), c.teams(), classes, c.endpoints(), c.workers()),
          w -> w.key().toString(),
          EntityKinds::retireWorkClass);

  /** Endpoints. */
  public static final EntityKind<EndpointConfig> ENDPOINT =
      new EntityKind<>(
          "endpoint",
          "endpoints",
          Configuration::endpoints,
          (c, endpoints) ->
              new Configuration(
                  c.revision(), c.pools(), c.teams(), c.workClasses(), endpoints, c.workers()),
          e -> e.name().value(),
          EntityKinds::retireEndpoint);

  /** Workers. */
  public static final EntityKind<WorkerConfig> WORKER =
      new EntityKind<>(
          "worker",
          "workers",
          Configuration::workers,
          (c, workers) ->
              new Configuration(
                  c.revision(), c.pools(), c.teams(), c.workClasses(), c.endpoints(), workers),
          w -> w.name().value(),
          EntityKinds::retireWorker);

  /** All kinds, in the order of the sections of a configuration. */
  public static final List<EntityKind<?>> ALL = List.of(POOL, TEAM, WORK_CLASS, ENDPOINT, WORKER);

  private EntityKinds() {}

  /**
   * Returns a copy of the endpoint in the state LEAVING, in which it accepts no new work.
   *
   * @param e the endpoint
   * @return the draining endpoint
   * @throws InvalidFieldException if it is retired
   */
  public static EndpointConfig drain(EndpointConfig e) throws InvalidFieldException {
    requireNotRetired("endpoint", e.name().value(), e.state());
    return withState(e, EndpointState.LEAVING);
  }

  /**
   * Returns a copy of the worker in the state LEAVING, in which it accepts no new work.
   *
   * @param w the worker
   * @return the draining worker
   * @throws InvalidFieldException if it is retired
   */
  public static WorkerConfig drain(WorkerConfig w) throws InvalidFieldException {
    requireNotRetired("worker", w.name().value(), w.state());
    return withState(w, EndpointState.LEAVING);
  }

  private static EndpointConfig withState(EndpointConfig e, EndpointState state) {
    return new EndpointConfig(
        e.name(), e.pool(), e.dataCentre(), e.address(), e.slots(), e.connections(), state);
  }

  private static WorkerConfig withState(WorkerConfig w, EndpointState state) {
    return new WorkerConfig(
        w.name(), w.pool(), w.rack(), w.dataCentre(), w.address(), w.capacity(), state);
  }

  private static Configuration retirePool(Configuration configuration, PoolConfig pool) {
    return POOL.put(configuration, new PoolConfig(pool.name(), pool.dataCentres(), true));
  }

  /** Retires the team together with its work classes. */
  private static Configuration retireTeam(Configuration configuration, TeamConfig t) {
    TeamConfig retired = new TeamConfig(t.name(), t.pool(), t.weight(), t.floor(), t.quota(), true);
    Configuration after = TEAM.put(configuration, retired);
    for (WorkClassConfig workClass : configuration.workClasses()) {
      if (workClass.team().equals(t.name())) {
        after = retireWorkClass(after, workClass);
      }
    }
    return after;
  }

  private static Configuration retireWorkClass(Configuration configuration, WorkClassConfig w) {
    WorkClassConfig retired =
        new WorkClassConfig(
            w.team(),
            w.name(),
            w.urgency(),
            w.idempotent(),
            w.floor(),
            w.answerWithin(),
            w.expectedRatePerSecond(),
            w.queueLimit(),
            w.queueLimitBytes(),
            true);
    return WORK_CLASS.put(configuration, retired);
  }

  private static Configuration retireEndpoint(Configuration configuration, EndpointConfig e)
      throws InvalidFieldException {
    requireDrained("endpoint", e.name().value(), e.state());
    return ENDPOINT.put(configuration, withState(e, EndpointState.RETIRED));
  }

  private static Configuration retireWorker(Configuration configuration, WorkerConfig w)
      throws InvalidFieldException {
    requireDrained("worker", w.name().value(), w.state());
    return WORKER.put(configuration, withState(w, EndpointState.RETIRED));
  }

  private static void requireDrained(String noun, String name, EndpointState state)
      throws InvalidFieldException {
    if (state == EndpointState.ACTIVE) {
      throw new InvalidFieldException(
          noun + " " + name,
          "ACTIVE",
          "LEAVING; first 'masticctl drain " + noun + " " + name + "'");
    }
  }

  private static void requireNotRetired(String noun, String name, EndpointState state)
      throws InvalidFieldException {
    if (state == EndpointState.RETIRED) {
      throw new InvalidFieldException(noun + " " + name, "RETIRED", "ACTIVE or LEAVING");
    }
  }
}
