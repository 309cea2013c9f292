package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.port.WorkerPort.Outcome;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.resource.ResourceVector;

/** Accepted tasks start within 3 s once nothing prevents their start any more. */
class StartDelayTest {
  private static final Duration SHORT = Duration.ofMillis(300);
  private static final Duration LONG = Duration.ofSeconds(20);

  /** How long a task keeps running after a stop order. */
  private static final Duration STOP_DURATION = Duration.ofMillis(900);

  /** Maximum time until an accepted task that can run is started. */
  private static final long MAX_START_DELAY_MILLIS = 3000;

  /** A lease on a clock that is 2 % slow, plus the margin after its end. */
  private static final long LEASE_MILLIS = 3750;

  private final CellFixture fixture =
      new CellFixture(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));

  @BeforeEach
  void start() {
    fixture.workers.add("w1", "r1", 8000);
    fixture.workers.add("w2", "r1", 8000);
    fixture.workers.add("w3", "r2", 8000);
    fixture.lead();
    advance(50);
  }

  @AfterEach
  void should_never_violate_an_invariant() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private void advance(long millis) {
    fixture.time.pass(Duration.ofMillis(millis));
  }

  private void accept(String id, Duration runs, StepSpec... steps) {
    fixture.workers.describe(id, steps[0].demand(), runs);
    CellReply reply = fixture.accept(Jobs.job(id, steps));
    assertThat(reply.outcome()).isEqualTo(CellReply.Outcome.ACCEPTED);
  }

  private void accept(String id, int tasks, long millicores, Duration runs) {
    accept(id, runs, Jobs.step(tasks, millicores, runs, false));
  }

  private void gang(String id, int tasks, long millicores, Duration runs) {
    fixture.workers.describeGang(id + ".0.0", tasks);
    accept(id, runs, Jobs.step(tasks, millicores, runs, true));
  }

  private void failAllTasks(boolean fail) {
    fixture.workers.entries().forEach(e -> fixture.workers.state(e.id()).failsAll = fail);
  }

  private void refuseAllStarts(Outcome outcome) {
    fixture.workers.entries().forEach(e -> fixture.workers.state(e.id()).startRefusal = outcome);
  }

  private String workerOf(String task) {
    return fixture.workers.starts().stream()
        .filter(start -> start.contains(" " + task + " "))
        .reduce((first, last) -> last)
        .orElseThrow()
        .split(" ")[0];
  }

  private void acceptFailingJob(String id, long millicores, String label) {
    fixture.workers.describeFailing(id);
    accept(id, SHORT, Jobs.labelled(Jobs.step(1, millicores, SHORT, false), label));
  }

  private void cancel(String job) {
    fixture.call(Action.CANCEL, job, null);
  }

  @Nested
  class RefusedStarts {
    @Test
    void should_start_a_task_elsewhere_that_an_unhealthy_worker_refuses() {
      // GIVEN
      fixture.workers.state("w1").startRefusal = Outcome.UNHEALTHY;

      // WHEN
      accept("a", 1, 1000, SHORT);
      advance(MAX_START_DELAY_MILLIS);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_start_a_task_elsewhere_that_a_worker_refuses_for_lack_of_capacity() {
      // GIVEN
      fixture.workers.state("w1").startRefusal = Outcome.NO_ROOM;

      // WHEN
      accept("a", 1, 1000, SHORT);
      advance(MAX_START_DELAY_MILLIS);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_start_a_gang_elsewhere_that_an_unhealthy_worker_refuses() {
      // GIVEN
      fixture
          .workers
          .entries()
          .forEach(e -> fixture.workers.state(e.id()).stopDelay = STOP_DURATION);
      fixture.workers.state("w1").startRefusal = Outcome.UNHEALTHY;

      // WHEN
      gang("a", 2, 8000, SHORT);
      advance(MAX_START_DELAY_MILLIS);

      // THEN
      assertThat(fixture.workers.succeeded()).contains("a.0.0.0");
    }

    @Test
    void should_use_all_workers_again_once_the_leader_reaches_them() {
      // GIVEN
      refuseAllStarts(Outcome.NOT_SENT);
      for (int i = 0; i < 6; i++) {
        fixture.workers.describe("a" + i, new ResourceVector(2000, 1024, 0), SHORT);
        fixture.submit(Jobs.job("a" + i, Jobs.step(3, 2000, SHORT, false)));
      }
      advance(300);

      // WHEN
      refuseAllStarts(null);
      advance(1500);

      // THEN
      assertThat(fixture.startsOf("a0.0.0.0")).isEqualTo(1);
    }
  }

  @Nested
  class QuarantinedWorkers {
    @Test
    void should_use_free_capacity_beside_a_long_task_on_probation() {
      // GIVEN
      acceptFailingJob("a", 1000, "r2");
      acceptFailingJob("b", 1000, "r2");
      advance(1500);
      cancel("a");
      cancel("b");
      advance(6500);
      accept("long", LONG, Jobs.labelled(Jobs.step(1, 1000, LONG, false), "r2"));
      advance(1500);

      // WHEN
      accept("next", SHORT, Jobs.labelled(Jobs.step(1, 1000, SHORT, false), "r2"));
      advance(MAX_START_DELAY_MILLIS);

      // THEN
      assertThat(fixture.startsOf("long.0.0.0")).isEqualTo(1);
      assertThat(fixture.startsOf("next.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_start_tasks_after_always_failing_jobs_have_failed_on_all_workers() {
      // GIVEN
      for (int i = 0; i < 6; i++) {
        acceptFailingJob("a" + i, 4000, "a");
      }
      accept("next", 1, 1000, SHORT);

      // WHEN
      advance(MAX_START_DELAY_MILLIS);

      // THEN
      assertThat(fixture.workers.succeeded()).contains("next.0.0.0");
    }

    @Test
    void should_restart_lasting_tasks_that_fail_occasionally() {
      // GIVEN
      failAllTasks(true);
      for (int i = 0; i < 9; i++) {
        accept("a" + i, Duration.ofMillis(1500), Jobs.lasting(1, 1000));
      }
      advance(30_000);

      // WHEN
      int before = fixture.workers.starts().size();
      advance(MAX_START_DELAY_MILLIS);

      // THEN
      assertThat(fixture.workers.starts().size() - before).isGreaterThanOrEqualTo(9);
    }
  }

  @Nested
  class UnreleasedRuns {
    @Test
    void should_restart_tasks_elsewhere_at_once_when_their_worker_is_replaced() {
      // GIVEN
      accept("a", 1, 1000, Duration.ofSeconds(4));
      advance(1000);

      // WHEN
      fixture.workers.replace(workerOf("a.0.0.0"));
      advance(MAX_START_DELAY_MILLIS);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(2);
    }

    @Test
    void should_restart_a_broken_gang_when_the_lease_of_its_silent_worker_has_expired() {
      // GIVEN
      gang("a", 2, 8000, Duration.ofMillis(5200));
      advance(1000);
      fixture.workers.state(workerOf("a.0.0.1")).silent = true;

      // WHEN
      advance(LEASE_MILLIS + 500);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(2);
    }

    @Test
    void should_restart_a_task_after_two_unanswered_starts() {
      for (int i = 0; i < 8; i++) {
        // GIVEN
        fixture.workers.entries().forEach(e -> fixture.workers.state(e.id()).losesNextStart = true);
        advance(137 * i);

        // WHEN
        String task = "a" + i + ".0.0.0";
        accept("a" + i, 1, 1000, SHORT);
        long accepted = fixture.time.millis();
        while (fixture.startsOf(task) == 0) {
          advance(10);
        }

        // THEN
        assertThat(fixture.time.millis() - accepted).isLessThanOrEqualTo(MAX_START_DELAY_MILLIS);
      }
    }

    @Test
    void should_give_up_an_unanswered_start_whose_stop_is_refused() {
      // GIVEN
      fixture.workers.state("w1").losesNextStart = true;
      fixture.workers.state("w1").stopRefusal = Outcome.UNHEALTHY;

      // WHEN
      accept("a", 1, 1000, SHORT);
      advance(LEASE_MILLIS + MAX_START_DELAY_MILLIS);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(1);
    }
  }

  @Nested
  class AfterTakeover {
    @Test
    void should_not_delay_older_jobs_for_new_workers_that_do_not_answer() {
      // GIVEN
      StepSpec first = Jobs.step(1, 1000, Duration.ofSeconds(6), false);
      StepSpec second = Jobs.step(1, 1000, SHORT, false, List.of(0));
      accept("a", Duration.ofSeconds(6), first, second);
      advance(100);
      fixture.cell.close();
      fixture.lead();
      advance(5000);

      // WHEN
      for (int i = 0; i < 5; i++) {
        fixture.workers.add("x" + i, "r1", 8000).silent = true;
        fixture.cell.register(fixture.workers.state("x" + i).entry);
        advance(1000);
      }

      // THEN
      assertThat(fixture.startsOf("a.0.1.0")).isEqualTo(1);
    }
  }

  @Nested
  class WithWaitingGangs {
    @Test
    void should_start_a_long_task_on_capacity_that_a_gang_keeps_reserved_for_long() {
      // GIVEN
      accept("busy", 1, 8000, Duration.ofSeconds(10));
      gang("gang", 3, 8000, Duration.ofSeconds(1));

      // WHEN
      accept("next", 2, 1000, LONG);
      advance(MAX_START_DELAY_MILLIS);

      // THEN
      assertThat(fixture.startsOf("next.0.0.0")).isEqualTo(1);
      assertThat(fixture.startsOf("next.0.0.1")).isZero();
    }
  }
}
