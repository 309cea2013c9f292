package org.masticspread.policy.request;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.Urgency;

/** A scheduler with endpoints e0, e1, ... and two teams, each with a class of every urgency. */
public final class RequestFixture implements InstantSource {
  public static final Duration ANSWER_WITHIN = Duration.ofSeconds(2);
  static final Duration SERVICE_TIME = Duration.ofMillis(50);
  private static final PoolId POOL = PoolId.of("pool");

  private Instant now = Instant.parse("2026-01-01T00:00:00Z");
  private long number;
  public final Configuration configuration;
  public final RequestScheduler scheduler;

  /** Creates a fixture whose endpoints all have the same number of slots. */
  public RequestFixture(int endpoints, int slots, int queueLimit, RequestLimits limits) {
    List<EndpointConfig> homeEndpoints = new ArrayList<>();
    for (int i = 0; i < endpoints; i++) {
      EndpointId id = EndpointId.of("e" + i);
      DataCentreId dc = DataCentreId.of("dc");
      homeEndpoints.add(new EndpointConfig(id, POOL, dc, "h", slots, 64, EndpointState.ACTIVE));
    }
    List<TeamConfig> teams = new ArrayList<>();
    List<WorkClassConfig> classes = new ArrayList<>();
    for (String name : List.of("a", "b")) {
      TeamId team = TeamId.of(name);
      teams.add(new TeamConfig(team, POOL, 1, 0.4, null, false));
      for (Urgency urgency : Urgency.values()) {
        WorkClassId id = WorkClassId.of(urgency.name());
        classes.add(
            new WorkClassConfig(
                team, id, urgency, true, 0.3, ANSWER_WITHIN, 0, queueLimit, 1 << 20, false));
      }
    }
    PoolConfig pool = new PoolConfig(POOL, List.of(), false);
    configuration = new Configuration(1, List.of(pool), teams, classes, homeEndpoints, List.of());
    scheduler = RequestScheduler.create(this).withLimits(limits).withSeed(7);
    scheduler.configure(configuration, homeEndpoints);
  }

  /** Returns a fixture with the standard limits. */
  public static RequestFixture of(int endpoints, int slots) {
    return new RequestFixture(endpoints, slots, 1_000, RequestLimits.STANDARD);
  }

  @Override
  public Instant instant() {
    return now;
  }

  /** Advances the clock. */
  public void advance(Duration by) {
    now = now.plus(by);
  }

  /** Creates a request with a new id. */
  public RequestSpec request(String team, Urgency urgency, boolean idempotent, Duration within) {
    RequestKey key = new RequestKey(TeamId.of(team), RequestId.of("r" + number++));
    WorkClassId id = WorkClassId.of(urgency.name());
    return new RequestSpec(key, id, urgency, idempotent, now.plus(within), Payload.ofText("x"));
  }

  /** Offers a new idempotent request to the scheduler. */
  public RequestSpec offer(String team, Urgency urgency) {
    RequestSpec request = request(team, urgency, true, ANSWER_WITHIN);
    scheduler.offer(request);
    return request;
  }

  List<Dispatch> dispatchAll() {
    List<Dispatch> all = new ArrayList<>();
    Optional<Dispatch> next = scheduler.next();
    while (next.isPresent()) {
      all.add(next.get());
      next = scheduler.next();
    }
    return all;
  }

  Completion finish(Dispatch dispatch, EndpointOutcome outcome) {
    advance(SERVICE_TIME);
    return scheduler.finished(dispatch, outcome, SERVICE_TIME);
  }
}
