package org.masticspread.policy.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.Urgency;

class RequestSchedulerPropertyTest {
  private static final int ENDPOINTS = 3;
  private static final int SLOTS = 3;
  private static final int STEPS = 400;

  /** A reference model of the requests offered to the scheduler and of its decisions. */
  private static final class ReferenceModel {
    final RequestFixture fixture = RequestFixture.of(ENDPOINTS, SLOTS);
    final Random random;
    final Map<RequestKey, RequestSpec> admitted = new HashMap<>();
    final Map<RequestKey, ResultCode> concluded = new HashMap<>();
    final Set<RequestKey> mayHaveRun = new HashSet<>();
    final Set<EndpointId> leaving = new HashSet<>();
    final Map<RequestKey, Integer> runs = new HashMap<>();
    final List<Dispatch> inFlight = new ArrayList<>();

    ReferenceModel(long seed) {
      this.random = new Random(seed);
    }

    void step() {
      switch (random.nextInt(12)) {
        case 0, 1, 2, 3 -> offer();
        case 4, 5, 6 -> dispatch();
        case 7, 8, 9 -> finish();
        case 10 -> cancelOrLeave();
        default -> {
          fixture.advance(Duration.ofMillis(random.nextInt(200)));
          fixture.scheduler.expire().forEach(this::conclude);
        }
      }
    }

    void offer() {
      Urgency urgency = Urgency.values()[random.nextInt(3)];
      Duration within = Duration.ofMillis(50 + random.nextInt(2_000));
      String team = random.nextBoolean() ? "a" : "b";
      RequestSpec request = fixture.request(team, urgency, random.nextBoolean(), within);
      if (fixture.scheduler.offer(request) instanceof Admission.Admitted admission) {
        admitted.put(request.key(), request);
        admission.evicted().forEach(this::conclude);
      }
    }

    void dispatch() {
      for (Dispatch dispatch : fixture.dispatchAll()) {
        inFlight.add(dispatch);
        assertThat(leaving).doesNotContain(dispatch.endpoint().name());
        assertThat(concluded).doesNotContainKey(dispatch.request().key());
        assertThat(fixture.instant()).isBefore(dispatch.request().answerBy());
      }
      for (int i = 0; i < ENDPOINTS; i++) {
        EndpointId id = EndpointId.of("e" + i);
        long sent = inFlight.stream().filter(d -> d.endpoint().name().equals(id)).count();
        assertThat(sent).isLessThanOrEqualTo(SLOTS).isEqualTo(fixture.scheduler.inFlight(id));
      }
    }

    void finish() {
      if (inFlight.isEmpty()) {
        return;
      }
      Dispatch dispatch = inFlight.remove(random.nextInt(inFlight.size()));
      EndpointOutcome outcome = EndpointOutcome.values()[random.nextInt(5)];
      RequestKey key = dispatch.request().key();
      if (outcome != EndpointOutcome.BUSY && outcome != EndpointOutcome.CONNECT_FAILED) {
        mayHaveRun.add(key);
        runs.merge(key, 1, Integer::sum);
      }
      if (fixture.finish(dispatch, outcome) instanceof Completion.Deliver end) {
        conclude(end.conclusion());
      }
    }

    void cancelOrLeave() {
      if (random.nextInt(4) == 0) {
        leaving.clear();
        leaving.add(EndpointId.of("e" + random.nextInt(ENDPOINTS)));
        fixture.scheduler.setLeaving(leaving);
        return;
      }
      admitted.keySet().stream()
          .findFirst()
          .flatMap(fixture.scheduler::cancel)
          .ifPresent(this::conclude);
    }

    void conclude(Conclusion conclusion) {
      RequestKey key = conclusion.request().key();
      assertThat(admitted).containsKey(key);
      assertThat(concluded.put(key, conclusion.code())).as("earlier outcome").isNull();
      if (conclusion.code().runState() == RunState.NOT_RUN) {
        assertThat(mayHaveRun).as("reported as not run: " + conclusion).doesNotContain(key);
        assertThat(inFlight).noneMatch(dispatch -> dispatch.request().key().equals(key));
      }
    }

    void drain() {
      for (int i = 0; i < 100; i++) {
        fixture.advance(Duration.ofMillis(100));
        while (!inFlight.isEmpty()) {
          finish();
        }
        dispatch();
        fixture.scheduler.expire().forEach(this::conclude);
      }
    }
  }

  @Property(seed = "20261204", tries = 150)
  void should_conclude_each_request_once_and_report_not_run_only_when_proven(
      @ForAll @IntRange(max = 1_000_000) int seed) {
    // GIVEN
    ReferenceModel model = new ReferenceModel(seed);
    // WHEN
    for (int i = 0; i < STEPS; i++) {
      model.step();
    }
    model.drain();
    // THEN
    assertThat(model.concluded.keySet()).isEqualTo(model.admitted.keySet());
    assertThat(model.runs)
        .allSatisfy(
            (key, runs) -> {
              if (!model.admitted.get(key).idempotent()) {
                assertThat(runs).isEqualTo(1);
              }
            });
  }

  @Property(seed = "20261204", tries = 30)
  void should_serve_each_backlogged_class_its_floor(
      @ForAll @IntRange(min = 2, max = 6) int endpoints,
      @ForAll @IntRange(min = 20, max = 400) int deferrableFlood,
      @ForAll @IntRange(min = 20, max = 400) int urgentFlood) {
    // GIVEN
    RequestFixture fixture = RequestFixture.of(endpoints, 8);
    Map<String, Integer> served = new HashMap<>();
    // WHEN
    int rounds = 200;
    for (int i = 0; i < rounds; i++) {
      for (String team : List.of("a", "b")) {
        int urgent = team.equals("a") ? urgentFlood : 8 * endpoints;
        offer(fixture, team, Urgency.URGENT, urgent);
        offer(fixture, team, Urgency.NORMAL, 8 * endpoints);
        offer(fixture, team, Urgency.DEFERRABLE, deferrableFlood);
      }
      List<Dispatch> dispatches = fixture.dispatchAll();
      fixture.advance(RequestFixture.SERVICE_TIME);
      for (Dispatch dispatch : dispatches) {
        served.merge(dispatch.request().classKey().toString(), 1, Integer::sum);
        fixture.scheduler.finished(dispatch, EndpointOutcome.ANSWERED, RequestFixture.SERVICE_TIME);
      }
      fixture.scheduler.expire();
    }
    // THEN
    double floor = rounds * endpoints * 8 * 0.4 * 0.3;
    assertThat(served).hasSize(6);
    assertThat(served)
        .allSatisfy((key, count) -> assertThat((double) count).isGreaterThan(0.95 * floor));
  }

  private static void offer(RequestFixture fixture, String team, Urgency urgency, int count) {
    for (int i = 0; i < count; i++) {
      fixture.offer(team, urgency);
    }
  }
}
