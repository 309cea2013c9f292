package org.masticspread.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.policy.placement.Samples.attempt;
import static org.masticspread.policy.placement.Samples.batch;
import static org.masticspread.policy.placement.Samples.job;
import static org.masticspread.policy.placement.Samples.report;
import static org.masticspread.policy.placement.Samples.running;
import static org.masticspread.policy.placement.Samples.size;

import java.time.Duration;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.Urgency;

class RackLedgerTest {
  private static final WorkerId WORKER = WorkerId.of("w0");
  private static final ResourceVector CAPACITY = size(16, 32);

  private final Samples.Clock clock = new Samples.Clock();
  private final List<WorkerConfig> workers = Samples.workers(1, "rack", CAPACITY);
  private RackLedger ledger;

  @BeforeEach
  void fill() {
    ledger = Samples.ledger(clock, workers);
  }

  @Nested
  class Place {
    @ParameterizedTest
    @CsvSource({
      "ready, true",
      "unreported, false",
      "expired, true",
      "leaving, false",
      "missing, false",
      "quarantined, false",
      "other pool, false",
      "same attempt, true",
      "other attempt, false",
      "gang unreserved, false"
    })
    void should_place_only_on_workers_that_accept_work(String condition, boolean placed) {
      // GIVEN
      PlaceTask task = batch("job", Urgency.NORMAL, size(1, 1));
      switch (condition) {
        case "unreported" -> ledger.markUnreported(WORKER);
        case "expired" -> {
          ledger.markUnreported(WORKER);
          ledger.leasesExpired(WORKER);
        }
        case "leaving" -> ledger.configure(List.of(leaving(workers.get(0))));
        case "missing" -> ledger.configure(List.of());
        case "quarantined" -> ledger.setQuarantined(Set.of(WORKER));
        case "other pool" -> ledger.configure(otherPool());
        case "same attempt" -> ledger.place(task);
        case "other attempt" ->
            ledger.place(
                Samples.task(task.task().job(), 2, Urgency.NORMAL, JobKind.BATCH, task.size()));
        case "gang unreserved" ->
            task = Samples.task(task.task().job(), 1, Urgency.NORMAL, JobKind.GANG, task.size());
        default -> assertThat(condition).isEqualTo("ready");
      }
      // WHEN THEN
      assertThat(ledger.place(task).isPresent()).isEqualTo(placed);
    }

    private WorkerConfig leaving(WorkerConfig worker) {
      return new WorkerConfig(
          worker.name(),
          worker.pool(),
          worker.rack(),
          worker.dataCentre(),
          worker.address(),
          worker.capacity(),
          EndpointState.LEAVING);
    }

    private Configuration otherPool() {
      var team = Samples.team("team", 1, 0, null);
      var moved = new TeamConfig(team.name(), PoolId.of("other"), 1, 0, null, false);
      return Samples.configuration(List.of(moved), workers);
    }

    @Test
    void should_avoid_workers_on_which_the_job_failed() {
      // GIVEN
      ledger = Samples.ledger(clock, Samples.workers(3, "rack", CAPACITY));
      PlaceTask first = batch("job", Urgency.NORMAL, size(1, 1));
      WorkerId failedOn = ledger.place(first).orElseThrow();
      LedgerPosition position = ledger.position();
      ledger.reconcile(
          report(
              failedOn,
              Samples.workerTask(
                  first, WorkerTaskPhase.FAILED, size(1, 1), Duration.ofSeconds(1), false)),
          position);
      // WHEN
      PlaceTask second =
          Samples.task(first.task().job(), 2, Urgency.NORMAL, JobKind.BATCH, size(1, 1));
      // THEN
      assertThat(ledger.place(second)).isPresent().get().isNotEqualTo(failedOn);
    }
  }

  @Nested
  class Reconcile {
    @ParameterizedTest
    @CsvSource({
      "confirmed before the position, true",
      "confirmed after the position, false",
      "start unanswered, false",
      "start unanswered and too late now, true"
    })
    void should_release_missing_tasks_only_when_they_certainly_do_not_run(
        String when, boolean gone) {
      // GIVEN
      PlaceTask task = batch("job", Urgency.NORMAL, size(1, 1));
      ledger.place(task);
      if (when.equals("confirmed before the position")) {
        ledger.started(attempt(task));
      }
      if (when.endsWith("too late now")) {
        clock.plus(Duration.ofSeconds(8));
      }
      LedgerPosition position = ledger.position();
      if (when.equals("confirmed after the position")) {
        ledger.started(attempt(task));
      }
      // WHEN
      ReconcileResult result = ledger.reconcile(report(WORKER), position);
      // THEN
      assertThat(result.gone().contains(attempt(task))).isEqualTo(gone);
      assertThat(ledger.workerOf(attempt(task)).isEmpty()).isEqualTo(gone);
    }

    @ParameterizedTest
    @CsvSource({"10, class, ", "31, class, CHECKPOINT", "31, restartable, STOP"})
    void should_allocate_memory_used_beyond_the_size_of_a_task(
        int gib, String name, TaskOrder order) {
      // GIVEN
      PlaceTask task =
          Samples.task(job("team", "job"), name, 1, Urgency.NORMAL, JobKind.BATCH, size(1, 4));
      ledger.place(task);
      ledger.place(batch("other", Urgency.NORMAL, size(1, 4)));
      // WHEN
      ReconcileResult result =
          ledger.reconcile(
              report(WORKER, running(task, size(1, gib), Duration.ofSeconds(9), false)),
              ledger.position());
      // THEN
      long free = (32 - 4 - Math.min(gib, 28)) * (1L << 30);
      assertThat(ledger.digest(1).free().memoryBytes()).isEqualTo(free);
      assertThat(result.orders().stream().map(WorkerOrder::order).toList())
          .isEqualTo(order == null ? List.of() : List.of(order));
    }

    @Test
    void should_keep_a_start_confirmed_after_the_seal_was_answered() {
      // GIVEN
      PlaceTask task = batch("job", Urgency.NORMAL, size(16, 16));
      ledger.place(task);
      ledger.started(attempt(task));
      // WHEN
      ledger.adopt(report(WORKER));
      // THEN
      assertThat(ledger.workerOf(attempt(task))).contains(WORKER);
    }

    @Test
    void should_adopt_tasks_that_an_earlier_owner_started() {
      // GIVEN
      RackLedger successor = RackLedger.forRack(workers.get(0).rack(), clock).configure(workers);
      PlaceTask task = batch("job", Urgency.NORMAL, size(10, 10));
      // WHEN
      successor.adopt(report(WORKER, running(task, size(1, 1), Duration.ofSeconds(9), false)));
      // THEN
      assertThat(successor.running(null)).hasSize(1).allMatch(r -> r.certain());
      assertThat(successor.place(batch("big", Urgency.URGENT, size(8, 8)))).isEmpty();
      assertThat(successor.preempt(batch("big", Urgency.URGENT, size(8, 8)))).isEmpty();
    }
  }

  @Nested
  class Preempt {
    @ParameterizedTest
    @CsvSource({
      "URGENT, DEFERRABLE, class, 9, 8, 20, CHECKPOINT",
      "URGENT, DEFERRABLE, restartable, 1, 8, 20, STOP",
      "URGENT, DEFERRABLE, class, 9, 8, 1, THROTTLE",
      "URGENT, NORMAL, class, 9, 8, 20, ",
      "URGENT, URGENT, class, 9, 8, 20, ",
      "NORMAL, DEFERRABLE, class, 9, 8, 20, ",
      "URGENT, DEFERRABLE, class, 9, 17, 1, "
    })
    void should_preempt_deferrable_tasks(
        Urgency wanting,
        Urgency holding,
        String workClass,
        int ranSeconds,
        int cores,
        int gib,
        TaskOrder order) {
      // GIVEN
      PlaceTask holder =
          Samples.task(job("team", "job"), workClass, 1, holding, JobKind.BATCH, size(16, 16));
      PlaceTask wanted = batch("urgent", wanting, size(cores, gib));
      ledger.place(holder);
      observe(holder, ranSeconds, false);
      // WHEN
      List<WorkerOrder> orders = ledger.preempt(wanted);
      // THEN
      assertThat(orders.stream().map(WorkerOrder::order).toList())
          .isEqualTo(order == null ? List.of() : List.of(order));
    }

    @Test
    void should_reserve_the_room_for_the_urgent_task() {
      // GIVEN
      PlaceTask holder = batch("job", Urgency.DEFERRABLE, size(16, 16));
      PlaceTask wanted = batch("urgent", Urgency.URGENT, size(12, 12));
      ledger.place(holder);
      observe(holder, 9, false);
      ledger.preempt(wanted);
      // WHEN
      ledger.ended(attempt(holder));
      // THEN
      assertThat(ledger.place(batch("other", Urgency.URGENT, size(8, 8)))).isEmpty();
      assertThat(ledger.place(wanted)).contains(WORKER);
    }

    @Test
    void should_throttle_then_run_at_full_speed_again() {
      // GIVEN
      PlaceTask holder = batch("job", Urgency.DEFERRABLE, size(16, 16));
      PlaceTask wanted = batch("urgent", Urgency.URGENT, size(8, 1));
      ledger.place(holder);
      observe(holder, 9, false);
      ledger.preempt(wanted);
      // WHEN
      observe(holder, 9, true);
      // THEN
      assertThat(ledger.place(wanted)).contains(WORKER);
      assertThat(ledger.dueOrders()).isEmpty();
      ledger.ended(attempt(wanted));
      assertThat(ledger.dueOrders())
          .containsExactly(new WorkerOrder(WORKER, attempt(holder), TaskOrder.UNTHROTTLE));
      observe(holder, 9, true);
      assertThat(ledger.place(wanted)).isEmpty();
    }

    private void observe(PlaceTask task, int ranSeconds, boolean throttled) {
      Duration ran = Duration.ofSeconds(ranSeconds);
      ledger.reconcile(
          report(WORKER, running(task, size(1, 1), ran, throttled)), ledger.position());
    }
  }

  @Nested
  class Reserve {
    @ParameterizedTest
    @CsvSource({"1, 2, 2", "1, 9, 4", "2, 9, 4", "0, 9, 0"})
    void should_replace_earlier_attempts_only(int attempt, int wanted, int expected) {
      // GIVEN
      ledger.reserve(job("team", "gang"), 1, size(4, 4), 3, clock.now.plusSeconds(5));
      // WHEN
      int reserved =
          ledger.reserve(
              job("team", "gang"), attempt, size(4, 4), wanted, clock.now.plusSeconds(5));
      // THEN
      assertThat(reserved).isEqualTo(expected);
    }
  }
}
