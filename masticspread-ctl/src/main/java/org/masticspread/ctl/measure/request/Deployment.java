package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.work.Urgency;

/**
 * A simulated deployment: teams, their work classes, and executors of different speeds.
 *
 * @param name the name of the deployment
 * @param configuration the teams and work classes, and the executors as endpoints
 * @param slowness the service time of each executor relative to the fastest
 * @param streams the arrivals at full load without a flood
 */
public record Deployment(
    String name, Configuration configuration, double[] slowness, List<RequestStream> streams) {
  private static final PoolId POOL = PoolId.of("orders");
  private static final int SLOTS = 8;
  private static final int CONNECTIONS = 64;
  private static final double TOTAL_FLOOR = 0.9;
  private static final double MAX_SLOWDOWN = 8;
  private static final int QUEUE_LIMIT = 5_000;
  private static final long QUEUE_LIMIT_BYTES = 64L * 1024 * 1024;

  /** A work class that every team of a deployment has. */
  private record ClassShape(
      String name, Urgency urgency, boolean idempotent, double floor, Duration answerWithin) {}

  /**
   * Returns the deployment of the sewing co-operative.
   *
   * @return the deployment
   */
  public static Deployment kitami() {
    List<String> teams = List.of("workshop", "funeral-directors", "temple-offices", "relatives");
    return of("kitami", teams, 30, classes("dye-lots"), Duration.ofMillis(40));
  }

  /**
   * Returns the deployment of the franchise office.
   *
   * @return the deployment
   */
  public static Deployment mtkvari() {
    List<ClassShape> classes =
        List.of(
            new ClassShape("counter-check", Urgency.URGENT, true, 0.5, Duration.ofMillis(1500)),
            new ClassShape("billing", Urgency.NORMAL, false, 0.2, Duration.ofSeconds(4)),
            new ClassShape("sleeve-stock", Urgency.DEFERRABLE, true, 0.3, Duration.ofSeconds(6)));
    List<String> teams = List.of("franchisees", "field-crews", "warranty-desk", "marquee-hire");
    return of("mtkvari", teams, 30, classes, Duration.ofMillis(30));
  }

  /**
   * Returns a larger deployment with 90 executors and 34 teams.
   *
   * @return the deployment
   */
  public static Deployment laterSize() {
    List<String> teams = IntStream.rangeClosed(1, 34).mapToObj(i -> "team-" + i).toList();
    return of("later-size", teams, 90, classes("batch"), Duration.ofMillis(40));
  }

  private static List<ClassShape> classes(String deferrable) {
    return List.of(
        new ClassShape("order", Urgency.URGENT, false, 0.4, Duration.ofSeconds(2)),
        new ClassShape("status", Urgency.NORMAL, true, 0.2, Duration.ofSeconds(4)),
        new ClassShape(deferrable, Urgency.DEFERRABLE, true, 0.4, Duration.ofSeconds(6)));
  }

  private static Deployment of(
      String name,
      List<String> teams,
      int executors,
      List<ClassShape> classes,
      Duration serviceTime) {
    double[] slowness = new double[executors];
    double concurrentRequests = 0;
    List<EndpointConfig> endpoints = new ArrayList<>();
    for (int i = 0; i < executors; i++) {
      slowness[i] = Math.pow(MAX_SLOWDOWN, i / (executors - 1.0));
      concurrentRequests += SLOTS / slowness[i];
      endpoints.add(endpoint(i));
    }
    double perSecond = concurrentRequests / (serviceTime.toNanos() / 1e9);
    List<TeamConfig> teamConfigs = new ArrayList<>();
    List<WorkClassConfig> classConfigs = new ArrayList<>();
    List<RequestStream> streams = new ArrayList<>();
    double floor = TOTAL_FLOOR / teams.size();
    for (int i = 0; i < teams.size(); i++) {
      TeamId team = TeamId.of(teams.get(i));
      teamConfigs.add(new TeamConfig(team, POOL, 1 + i % 3, floor, null, false));
      for (ClassShape shape : classes) {
        WorkClassConfig config = workClass(team, shape);
        classConfigs.add(config);
        double rate = perSecond * shape.floor() / teams.size();
        streams.add(new RequestStream(config, i, rate, serviceTime.toNanos()));
      }
    }
    PoolConfig pool = new PoolConfig(POOL, List.of(DataCentreId.of("dc-1")), false);
    Configuration configuration =
        new Configuration(1, List.of(pool), teamConfigs, classConfigs, endpoints, List.of());
    return new Deployment(name, configuration, slowness, List.copyOf(streams));
  }

  private static EndpointConfig endpoint(int index) {
    return new EndpointConfig(
        EndpointId.of("executor-" + index),
        POOL,
        DataCentreId.of("dc-1"),
        "executor-" + index,
        SLOTS,
        CONNECTIONS,
        EndpointState.ACTIVE);
  }

  private static WorkClassConfig workClass(TeamId team, ClassShape shape) {
    return new WorkClassConfig(
        team,
        WorkClassId.of(shape.name()),
        shape.urgency(),
        shape.idempotent(),
        shape.floor(),
        shape.answerWithin(),
        0,
        QUEUE_LIMIT,
        QUEUE_LIMIT_BYTES,
        false);
  }

  int executors() {
    return slowness.length;
  }
}
