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

/** Accepted work starts within 3 s of the moment at which nothing forbids it any more. */
class StandstillTest {
  private static final Duration SHORT = Duration.ofMillis(300);
  private static final Duration LONG = Duration.ofSeconds(20);

  /** How long a stopped task may go on. */
  private static final Duration STOP = Duration.ofMillis(900);

  /** From here on accepted work that could run stands still for too long. */
  private static final long BOUND_MILLIS = 3000;

  /** A lease with a clock that is 2 % slow, and the margin after it. */
  private static final long LEASE_MILLIS = 3750;

  private final CellFixture fixture =
      new CellFixture(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));

  @BeforeEach
  void start() {
    fixture.workers.add("w1", "r1", 8000);
    fixture.workers.add("w2", "r1", 8000);
    fixture.workers.add("w3", "r2", 8000);
    fixture.lead();
    pass(50);
  }

  @AfterEach
  void should_never_break_a_promise() {
    assertThat(fixture.workers.violations()).isEmpty();
  }

  private void pass(long millis) {
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

  private void allFail(boolean fail) {
    fixture.workers.entries().forEach(e -> fixture.workers.state(e.id()).failsAll = fail);
  }

  private void allRefuse(Outcome outcome) {
    fixture.workers.entries().forEach(e -> fixture.workers.state(e.id()).startRefusal = outcome);
  }

  private String placeOf(String task) {
    return fixture.workers.starts().stream()
        .filter(start -> start.contains(" " + task + " "))
        .reduce((first, last) -> last)
        .orElseThrow()
        .split(" ")[0];
  }

  private void hopeless(String id, long millicores, String label) {
    fixture.workers.describeFailing(id);
    accept(id, SHORT, Jobs.labelled(Jobs.step(1, millicores, SHORT, false), label));
  }

  private void cancel(String job) {
    fixture.call(Action.CANCEL, job, null);
  }

  @Nested
  class RefusedStarts {
    @Test
    void should_start_elsewhere_what_an_unhealthy_worker_refuses() {
      // GIVEN
      fixture.workers.state("w1").startRefusal = Outcome.UNHEALTHY;

      // WHEN
      accept("a", 1, 1000, SHORT);
      pass(BOUND_MILLIS);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_start_elsewhere_what_a_worker_with_less_room_than_known_refuses() {
      // GIVEN
      fixture.workers.state("w1").startRefusal = Outcome.NO_ROOM;

      // WHEN
      accept("a", 1, 1000, SHORT);
      pass(BOUND_MILLIS);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_start_a_gang_elsewhere_that_an_unhealthy_worker_refuses() {
      // GIVEN
      fixture.workers.entries().forEach(e -> fixture.workers.state(e.id()).stopDelay = STOP);
      fixture.workers.state("w1").startRefusal = Outcome.UNHEALTHY;

      // WHEN
      gang("a", 2, 8000, SHORT);
      pass(BOUND_MILLIS);

      // THEN
      assertThat(fixture.workers.succeeded()).contains("a.0.0.0");
    }

    @Test
    void should_use_all_workers_again_once_the_leader_reaches_them() {
      // GIVEN
      allRefuse(Outcome.NOT_SENT);
      for (int i = 0; i < 6; i++) {
        fixture.workers.describe("a" + i, new ResourceVector(2000, 1024, 0), SHORT);
        fixture.submit(Jobs.job("a" + i, Jobs.step(3, 2000, SHORT, false)));
      }
      pass(300);

      // WHEN
      allRefuse(null);
      pass(1500);

      // THEN
      assertThat(fixture.startsOf("a0.0.0.0")).isEqualTo(1);
    }
  }

  @Nested
  class WorkersPutAside {
    @Test
    void should_use_the_room_beside_a_long_task_on_probation() {
      // GIVEN
      hopeless("a", 1000, "r2");
      hopeless("b", 1000, "r2");
      pass(1500);
      cancel("a");
      cancel("b");
      pass(6500);
      accept("long", LONG, Jobs.labelled(Jobs.step(1, 1000, LONG, false), "r2"));
      pass(1500);

      // WHEN
      accept("next", SHORT, Jobs.labelled(Jobs.step(1, 1000, SHORT, false), "r2"));
      pass(BOUND_MILLIS);

      // THEN
      assertThat(fixture.startsOf("long.0.0.0")).isEqualTo(1);
      assertThat(fixture.startsOf("next.0.0.0")).isEqualTo(1);
    }

    @Test
    void should_start_work_after_hopeless_jobs_have_failed_everywhere() {
      // GIVEN
      for (int i = 0; i < 6; i++) {
        hopeless("a" + i, 4000, "a");
      }
      accept("next", 1, 1000, SHORT);

      // WHEN
      pass(BOUND_MILLIS);

      // THEN
      assertThat(fixture.workers.succeeded()).contains("next.0.0.0");
    }

    @Test
    void should_start_lasting_tasks_again_that_fail_now_and_then() {
      // GIVEN
      allFail(true);
      for (int i = 0; i < 9; i++) {
        accept("a" + i, Duration.ofMillis(1500), Jobs.lasting(1, 1000));
      }
      pass(30_000);

      // WHEN
      int before = fixture.workers.starts().size();
      pass(BOUND_MILLIS);

      // THEN
      assertThat(fixture.workers.starts().size() - before).isGreaterThanOrEqualTo(9);
    }
  }

  @Nested
  class RunsNeverReleased {
    @Test
    void should_start_elsewhere_at_once_what_ran_on_a_worker_that_was_replaced() {
      // GIVEN
      accept("a", 1, 1000, Duration.ofSeconds(4));
      pass(1000);

      // WHEN
      fixture.workers.replace(placeOf("a.0.0.0"));
      pass(BOUND_MILLIS);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(2);
    }

    @Test
    void should_start_a_broken_gang_anew_when_the_lease_of_its_silent_member_has_expired() {
      // GIVEN
      gang("a", 2, 8000, Duration.ofMillis(5200));
      pass(1000);
      fixture.workers.state(placeOf("a.0.0.1")).silent = true;

      // WHEN
      pass(LEASE_MILLIS + 500);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(2);
    }

    @Test
    void should_start_anew_after_two_starts_without_an_answer() {
      for (int i = 0; i < 8; i++) {
        // GIVEN
        fixture.workers.entries().forEach(e -> fixture.workers.state(e.id()).losesNextStart = true);
        pass(137 * i);

        // WHEN
        String task = "a" + i + ".0.0.0";
        accept("a" + i, 1, 1000, SHORT);
        long accepted = fixture.time.millis();
        while (fixture.startsOf(task) == 0) {
          pass(10);
        }

        // THEN
        assertThat(fixture.time.millis() - accepted).isLessThanOrEqualTo(BOUND_MILLIS);
      }
    }

    @Test
    void should_give_up_a_start_without_an_answer_whose_stop_is_refused() {
      // GIVEN
      fixture.workers.state("w1").losesNextStart = true;
      fixture.workers.state("w1").stopRefusal = Outcome.UNHEALTHY;

      // WHEN
      accept("a", 1, 1000, SHORT);
      pass(LEASE_MILLIS + BOUND_MILLIS);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(1);
    }
  }

  @Nested
  class AfterTakeover {
    @Test
    void should_not_hold_back_older_jobs_for_new_workers_that_do_not_answer() {
      // GIVEN
      StepSpec first = Jobs.step(1, 1000, Duration.ofSeconds(6), false);
      StepSpec second = Jobs.step(1, 1000, SHORT, false, List.of(0));
      accept("a", Duration.ofSeconds(6), first, second);
      pass(100);
      fixture.cell.close();
      fixture.lead();
      pass(5000);

      // WHEN
      for (int i = 0; i < 5; i++) {
        fixture.workers.add("x" + i, "r1", 8000).silent = true;
        fixture.cell.register(fixture.workers.state("x" + i).entry);
        pass(1000);
      }

      // THEN
      assertThat(fixture.startsOf("a.0.1.0")).isEqualTo(1);
    }
  }

  @Nested
  class BesideGangsThatWait {
    @Test
    void should_start_a_long_task_on_room_that_a_gang_keeps_for_long() {
      // GIVEN
      accept("busy", 1, 8000, Duration.ofSeconds(10));
      gang("gang", 3, 8000, Duration.ofSeconds(1));

      // WHEN
      accept("next", 2, 1000, LONG);
      pass(BOUND_MILLIS);

      // THEN
      assertThat(fixture.startsOf("next.0.0.0")).isEqualTo(1);
      assertThat(fixture.startsOf("next.0.0.1")).isZero();
    }
  }
}
