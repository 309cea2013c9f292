package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.DoubleStream;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.cell.port.WorkerPort.Renewal;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.FakeTable.CommitOutcome;
import org.masticspread.cell.testing.FakeWorkers.State;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;
import org.masticspread.model.resource.ResourceVector;

/**
 * Tests workers that start again under their ids, while calls are in flight that are bound to their
 * former incarnation.
 */
class BoundCallsTest {
  private static final Duration DOWN = Duration.ofMillis(300);

  /** By then, the worker is back and the calls in flight have arrived. */
  private static final long BACK_MILLIS = DOWN.toMillis() + 5;

  /** Longer than the longest lease on a slow clock. */
  private static final long LEASES_OVER_MILLIS = 8000;

  private static final String TASK = "a.0.0.0";

  private final CellFixture fixture =
      new CellFixture(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));
  private State returning;

  /**
   * The clocks of the worker.
   *
   * @param rate the speed of the clock
   * @param aheadMillis how far the clock of the new incarnation is ahead of the former one
   */
  record Clocks(double rate, long aheadMillis) {}

  static Stream<Clocks> clocks() {
    return DoubleStream.of(1, 0.98)
        .boxed()
        .flatMap(
            rate ->
                LongStream.of(-900_000, -5000, -500, 0, 500, 2500, 60_000)
                    .mapToObj(ahead -> new Clocks(rate, ahead)));
  }

  @BeforeEach
  void start() {
    fixture.workers.bindsCalls = true;
    returning = fixture.workers.add("w1", "r1", 4000);
    fixture.lead();
    pass(3000);
  }

  @AfterEach
  void should_never_run_a_task_twice() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private void pass(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  private void accept(String id, int tasks, long millis) {
    Duration runs = Duration.ofMillis(millis);
    fixture.workers.describe(id, new ResourceVector(500, 1024, 0), runs);
    assertThat(fixture.accept(Jobs.job(id, Jobs.step(tasks, 500, runs, false))))
        .extracting(CellReply::outcome)
        .isEqualTo(Outcome.ACCEPTED);
  }

  private void addWorker(String id) {
    fixture.cell.register(fixture.workers.add(id, "r1", 4000).entry);
    pass(50);
  }

  private void crash(Clocks clocks) {
    fixture.workers.clockRate("w1", clocks.rate());
    fixture.workers.crash("w1", DOWN, fixture.time.millis() + clocks.aheadMillis());
  }

  /** Waits until a renewal that grants a lease is on its way. */
  private void awaitLeaseInFlight() {
    Renewal before = returning.lastRenewal;
    while (returning.lastRenewal == before || returning.lastRenewal.leaseUntilMillis().isEmpty()) {
      pass(1);
    }
  }

  /** Waits until an acknowledgement is on its way. */
  private void awaitAcknowledgementInFlight() {
    while (returning.lastRenewal.acknowledged() == 0) {
      pass(1);
    }
  }

  private List<String> eventsOf(String event) {
    return fixture.events.stream().filter(e -> e.startsWith(event + " ")).toList();
  }

  private List<String> startsAt(String worker) {
    return fixture.workers.starts().stream().filter(s -> s.startsWith(worker + " ")).toList();
  }

  /** Leads again, while the registry still shows the former incarnation. */
  private void leadAgainWithFormerEntry() {
    fixture.unregistered.add("w1");
    fixture.workers.add("w2", "r1", 4000);
    fixture.lead();
    fixture.cell.register(returning.entry);
    fixture.cell.formerLeadersEnded("closed");
  }

  @Nested
  class UnseenRestart {
    /** Guards against a second run beside one that a start in flight began unseen. */
    @ParameterizedTest
    @MethodSource("org.masticspread.cell.engine.BoundCallsTest#clocks")
    void should_not_run_a_task_twice_when_only_a_start_has_met_the_new_incarnation(Clocks clocks) {
      // GIVEN
      returning.losesAnswers = true;
      crash(clocks);
      accept("a", 1, 20_000);
      pass(BACK_MILLIS);

      // WHEN
      returning.silent = true;
      addWorker("w2");
      pass(LEASES_OVER_MILLIS);

      // THEN
      assertThat(startsAt("w1")).isEmpty();
      assertThat(fixture.workers.runs(TASK)).isTrue();
    }

    /** Guards against a lease in flight that lets a run outlast the wait for the worker. */
    @ParameterizedTest
    @MethodSource("org.masticspread.cell.engine.BoundCallsTest#clocks")
    void should_not_run_a_task_twice_when_a_lease_has_met_the_new_incarnation(Clocks clocks) {
      // GIVEN
      awaitLeaseInFlight();
      returning.losesAnswers = true;
      crash(clocks);
      accept("a", 1, 20_000);
      pass(BACK_MILLIS);

      // WHEN
      returning.silent = true;
      addWorker("w2");
      pass(LEASES_OVER_MILLIS);

      // THEN
      assertThat(startsAt("w1")).isEmpty();
      assertThat(fixture.workers.runs(TASK)).isTrue();
    }

    /** Guards against a next leader that counts the lease of the listed incarnation only. */
    @ParameterizedTest
    @MethodSource("org.masticspread.cell.engine.BoundCallsTest#clocks")
    void should_not_run_a_task_twice_after_a_takeover(Clocks clocks) {
      // GIVEN
      awaitLeaseInFlight();
      returning.losesAnswers = true;
      crash(clocks);
      accept("a", 1, 20_000);
      pass(BACK_MILLIS);

      // WHEN
      fixture.cell.close();
      returning.silent = true;
      leadAgainWithFormerEntry();
      pass(LEASES_OVER_MILLIS);

      // THEN
      assertThat(startsAt("w1")).isEmpty();
      assertThat(fixture.workers.runs(TASK)).isTrue();
    }
  }

  @Nested
  class UnlistedIncarnation {
    private void loseLeaderBeforeIncarnationIsDurable(Clocks clocks, CommitOutcome outcome) {
      crash(clocks);
      accept("a", 1, 20_000);
      fixture.table.always(outcome);
      while (eventsOf("worker-new-life").isEmpty()) {
        pass(1);
      }
    }

    /** Guards against a next leader that takes a confirmed incarnation for the listed one. */
    @ParameterizedTest
    @MethodSource("org.masticspread.cell.engine.BoundCallsTest#clocks")
    void should_not_run_a_task_twice_when_a_new_incarnation_was_not_listed(Clocks clocks) {
      // GIVEN
      loseLeaderBeforeIncarnationIsDurable(clocks, CommitOutcome.SILENT);

      // WHEN
      pass(300);
      fixture.cell.close();
      returning.silent = true;
      fixture.table.always(CommitOutcome.DONE);
      leadAgainWithFormerEntry();
      pass(LEASES_OVER_MILLIS);

      // THEN
      assertThat(startsAt("w1")).isEmpty();
      assertThat(fixture.workers.runs(TASK)).isTrue();
    }

    /** Guards against work for an incarnation whose row of used workers is not durable. */
    @ParameterizedTest
    @MethodSource("org.masticspread.cell.engine.BoundCallsTest#clocks")
    void should_start_nothing_at_a_new_incarnation_that_is_not_listed(Clocks clocks) {
      // GIVEN
      loseLeaderBeforeIncarnationIsDurable(clocks, CommitOutcome.ANSWER_LOST);

      // WHEN
      pass(400);

      // THEN
      assertThat(startsAt("w1")).isEmpty();
    }
  }

  @Nested
  class Acknowledgement {
    private void crashWithAcknowledgementInFlight(long aheadMillis) {
      accept("before", 4, 100);
      awaitAcknowledgementInFlight();
      crash(new Clocks(0.98, aheadMillis));
    }

    /** Guards against ends that a number in flight acknowledges before anybody has read them. */
    @ParameterizedTest
    @ValueSource(longs = {-900_000, -500, 500, 60_000})
    void should_read_all_ends_when_an_acknowledgement_was_in_flight(long aheadMillis) {
      // GIVEN
      returning.keepsAcknowledgedNumber = true;
      crashWithAcknowledgementInFlight(aheadMillis);

      // WHEN
      pass(2500);
      accept("after", 3, 60);
      pass(4000);

      // THEN
      assertThat(fixture.state("before")).isEqualTo(JobState.SUCCEEDED);
      assertThat(fixture.state("after")).isEqualTo(JobState.SUCCEEDED);
      assertThat(fixture.workers.starts()).hasSize(7);
    }

    /** Guards against a next leader that starts a task again whose end was acknowledged unread. */
    @ParameterizedTest
    @ValueSource(longs = {-900_000, -500, 500, 60_000})
    void should_read_all_ends_after_a_takeover(long aheadMillis) {
      // GIVEN
      returning.keepsAcknowledgedNumber = true;
      crashWithAcknowledgementInFlight(aheadMillis);

      // WHEN
      pass(BACK_MILLIS);
      fixture.cell.close();
      fixture.lead();
      pass(500);
      accept("after", 3, 60);
      pass(4000);

      // THEN
      assertThat(fixture.state("after")).isEqualTo(JobState.SUCCEEDED);
      assertThat(fixture.workers.starts()).hasSize(7);
    }
  }

  @Nested
  class LateStart {
    /** Guards against a late start that runs at the next incarnation after a stop was confirmed. */
    @ParameterizedTest
    @ValueSource(longs = {600, 1500, 2500, 3500})
    void should_not_run_a_task_twice_when_its_start_is_carried_out_late(long delayMillis) {
      // GIVEN
      returning.nextStartDelay = Duration.ofMillis(delayMillis);
      accept("a", 1, 20_000);

      // WHEN
      fixture.workers.restart("w1");
      returning.losesAnswers = true;
      pass(200);
      addWorker("w2");
      pass(LEASES_OVER_MILLIS);

      // THEN
      assertThat(startsAt("w1")).isEmpty();
      assertThat(fixture.workers.runs(TASK)).isTrue();
    }
  }

  @Nested
  class StartThatMeetsAnotherIncarnation {
    private static final Duration SHORT_DOWN = Duration.ofMillis(20);

    private void crashUnseen() {
      fixture.workers.crash("w1", SHORT_DOWN, fixture.time.millis());
      pass(25);
      assertThat(eventsOf("worker-life-suspected")).isEmpty();
    }

    /** Guards against a worker that is not renewed although a start has met its restart. */
    @Test
    void should_start_at_the_new_incarnation_soon() {
      // GIVEN
      crashUnseen();

      // WHEN
      accept("a", 1, 20_000);
      pass(400);

      // THEN
      assertThat(startsAt("w1")).hasSize(1);
      assertThat(eventsOf("worker-life-suspected")).hasSize(1);
      assertThat(eventsOf("worker-new-life")).hasSize(1);
    }

    /** Guards against a generation that rises with each answer, so that no renewal confirms. */
    @Test
    void should_raise_the_generation_once_when_several_starts_meet_it() {
      // GIVEN
      crashUnseen();

      // WHEN
      accept("a", 4, 1000);
      pass(3000);

      // THEN
      assertThat(eventsOf("task-start-refused")).hasSize(4).allMatch(e -> e.contains("OTHER_LIFE"));
      assertThat(eventsOf("worker-life-suspected"))
          .hasSize(1)
          .allMatch(e -> e.contains("shownBy, start") && e.contains("generation, 1"));
      assertThat(fixture.state("a")).isEqualTo(JobState.SUCCEEDED);
      assertThat(fixture.workers.starts()).hasSize(4);
    }

    /** Guards against late answers that raise the generation of a confirmed incarnation. */
    @Test
    void should_raise_the_generation_once_when_the_answers_arrive_one_by_one() {
      // GIVEN
      returning.answerGap = Duration.ofMillis(30);
      crash(new Clocks(1, 0));

      // WHEN
      accept("a", 4, 1000);
      pass(4000);

      // THEN
      assertThat(eventsOf("worker-life-suspected")).hasSize(1);
      assertThat(fixture.state("a")).isEqualTo(JobState.SUCCEEDED);
      assertThat(fixture.workers.starts()).hasSize(4);
    }

    /** Guards against runs of the former incarnation that are waited for until a lease ends. */
    @Test
    void should_start_again_what_the_former_incarnation_listed() {
      // GIVEN
      accept("listed", 2, 20_000);
      pass(1500);
      crashUnseen();

      // WHEN
      accept("a", 1, 20_000);
      pass(400);

      // THEN
      assertThat(eventsOf("task-waits-again")).filteredOn(e -> e.contains("listed")).hasSize(2);
      assertThat(fixture.startsOf("listed.0.0.0")).isEqualTo(2);
      assertThat(fixture.startsOf("listed.0.0.1")).isEqualTo(2);
    }

    /** Guards against a run that is released before its start is known to be refused. */
    @Test
    void should_release_a_start_without_an_answer_only_when_the_new_incarnation_is_confirmed() {
      // GIVEN
      returning.nextStartDelay = Duration.ofMillis(2500);
      accept("unanswered", 1, 20_000);
      crashUnseen();

      // WHEN
      accept("a", 1, 20_000);
      pass(4000);

      // THEN
      assertThat(fixture.events)
          .filteredOn(
              e -> e.startsWith("worker-new-life") || e.startsWith("task-waits-again unanswered"))
          .hasSize(2)
          .first()
          .asString()
          .startsWith("worker-new-life");
      assertThat(eventsOf("task-start-refused")).anyMatch(e -> e.contains("OTHER_LIFE"));
      assertThat(fixture.startsOf("unanswered.0.0.0")).isEqualTo(1);
    }

    /** Guards against work and waits for a worker whose address another one has taken over. */
    @Test
    void should_release_all_runs_when_another_id_answers_at_the_address() {
      // GIVEN
      accept("listed", 2, 20_000);
      pass(1500);
      fixture.workers.replace("w1");

      // WHEN
      accept("a", 1, 20_000);
      addWorker("w2");
      pass(1000);

      // THEN
      assertThat(eventsOf("worker-life-suspected")).hasSize(1);
      assertThat(eventsOf("worker-new-life")).isEmpty();
      assertThat(startsAt("w2")).hasSize(3);
    }
  }
}
