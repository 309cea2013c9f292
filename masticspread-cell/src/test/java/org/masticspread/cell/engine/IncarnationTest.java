package org.masticspread.cell.engine;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.cell.port.WorkerPort.Outcome.NO_ROOM;
import static org.masticspread.cell.port.WorkerPort.Outcome.UNHEALTHY;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.cell.journal.Rows;
import org.masticspread.cell.journal.UsedWorkersRecord;
import org.masticspread.cell.journal.UsedWorkersRecord.Used;
import org.masticspread.cell.port.TableRow;
import org.masticspread.cell.testing.CellFixture;
import org.masticspread.cell.testing.FakeWorkers.State;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;
import org.masticspread.model.resource.ResourceVector;

/**
 * Tests workers that crash, start again under their ids and take calls for their former
 * incarnation.
 */
class IncarnationTest {
  private static final Duration DOWN = Duration.ofMillis(300);

  private final CellFixture fixture =
      new CellFixture(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));
  private State returning;

  @BeforeEach
  void start() {
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

  private JobOrder job(String id, int tasks, long millis) {
    Duration runs = Duration.ofMillis(millis);
    fixture.workers.describe(id, new ResourceVector(1000, 1024, 0), runs);
    return Jobs.job(id, Jobs.step(tasks, 1000, runs, false));
  }

  private void accept(String id, int tasks, long millis) {
    assertThat(fixture.accept(job(id, tasks, millis)))
        .extracting(CellReply::outcome)
        .isEqualTo(Outcome.ACCEPTED);
  }

  private void addWorker(String id) {
    fixture.cell.register(fixture.workers.add(id, "r1", 4000).entry);
    pass(50);
  }

  private List<String> eventsOf(String event) {
    return fixture.events.stream().filter(e -> e.startsWith(event + " ")).toList();
  }

  @Nested
  class Lease {
    /** Guards against a lease that a call in flight made longer than the leader knows. */
    @ParameterizedTest
    @ValueSource(longs = {200, 500, 1000, 1600, 2500, 4000})
    void should_not_run_a_task_twice_when_a_call_in_flight_extended_its_lease(long cutMillis) {
      // GIVEN
      fixture.workers.crash("w1", DOWN);
      accept("a", 1, 20_000);
      pass(cutMillis);

      // WHEN
      returning.silent = true;
      addWorker("w2");
      pass(9000);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(2);
    }

    /** Guards against a worker that stands idle although its incarnation is known. */
    @Test
    void should_give_work_to_a_new_incarnation_at_once() {
      // GIVEN
      accept("a", 1, 20_000);
      pass(1000);

      // WHEN
      fixture.workers.crash("w1", DOWN);
      pass(2200);

      // THEN
      assertThat(fixture.workers.runs("a.0.0.0")).isTrue();
    }
  }

  @Nested
  class Acknowledgement {
    private void endTasks() {
      accept("before", 4, 100);
      pass(2000);
      assertThat(fixture.state("before")).isEqualTo(JobState.SUCCEEDED);
    }

    /** Guards against ends that are acknowledged by a number of the former incarnation. */
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void should_not_acknowledge_ends_that_nobody_has_read(boolean keepsNumber) {
      // GIVEN
      returning.keepsAcknowledgedNumber = keepsNumber;
      endTasks();

      // WHEN
      fixture.workers.crash("w1", DOWN);
      pass(280);
      accept("after", 3, 60);
      pass(6000);

      // THEN
      assertThat(fixture.state("after")).isEqualTo(JobState.SUCCEEDED);
      assertThat(fixture.workers.starts()).hasSize(7);
    }
  }

  @Nested
  class Start {
    /** Guards against a second run beside one that a call in flight started. */
    @Test
    void should_keep_a_run_that_a_call_in_flight_started_at_the_new_incarnation() {
      // GIVEN
      fixture.workers.crash("w1", DOWN);
      accept("a", 3, 3000);

      // WHEN
      addWorker("w2");
      pass(6000);

      // THEN
      assertThat(fixture.state("a")).isEqualTo(JobState.SUCCEEDED);
      assertThat(fixture.workers.starts()).hasSize(3);
    }

    /** Guards against a late answer that is taken for a sign of yet another incarnation. */
    @Test
    void should_keep_runs_when_a_start_is_answered_after_the_incarnation_was_confirmed() {
      // GIVEN
      returning.answerGap = Duration.ofMillis(30);
      fixture.workers.crash("w1", DOWN);
      accept("a", 3, 3000);

      // WHEN
      addWorker("w2");
      pass(6000);

      // THEN
      assertThat(fixture.state("a")).isEqualTo(JobState.SUCCEEDED);
      assertThat(fixture.workers.starts()).hasSize(3);
      assertThat(eventsOf("worker-life-suspected")).hasSize(1);
    }

    /** Guards against a start that is carried out after its run was released. */
    @Test
    void should_not_run_a_task_twice_when_its_start_is_carried_out_late() {
      // GIVEN
      addWorker("w2");
      fixture.workers.state("w2").startRefusal = NO_ROOM;
      returning.nextStartDelay = Duration.ofMillis(2500);
      accept("a", 1, 6000);

      // WHEN
      fixture.workers.restart("w1");
      returning.startRefusal = UNHEALTHY;
      fixture.workers.state("w2").startRefusal = null;
      pass(9000);

      // THEN
      assertThat(fixture.state("a")).isEqualTo(JobState.SUCCEEDED);
    }
  }

  @Nested
  class Stop {
    /** Guards against a stop for the former incarnation that blocks later runs of the task. */
    @Test
    void should_run_a_gang_again_after_a_stop_for_the_former_incarnation() {
      // GIVEN
      addWorker("w2");
      Duration runs = Duration.ofMillis(3000);
      fixture.workers.describe("g", new ResourceVector(3000, 1024, 0), runs);
      fixture.workers.describeGang("g.0.0", 2);
      fixture.accept(Jobs.job("g", Jobs.step(2, 3000, runs, true)));
      pass(500);

      // WHEN
      fixture.workers.crash("w1", Duration.ofSeconds(2));
      fixture.workers.restart("w2");
      pass(15_000);

      // THEN
      assertThat(eventsOf("task-stop")).isNotEmpty();
      assertThat(fixture.state("g")).isEqualTo(JobState.SUCCEEDED);
    }
  }

  @Nested
  class Listing {
    /** An id that is listed in the same row as {@code w1}. */
    private static final String IN_THE_SAME_ROW = "wA";

    @Test
    void should_use_a_worker_whose_answers_do_not_name_its_incarnation() {
      // GIVEN
      returning.silent = true;
      State unnamed = fixture.workers.add("w2", "r1", 4000);
      unnamed.incarnation = 0;
      fixture.cell.register(unnamed.entry);
      pass(2000);

      // WHEN
      accept("a", 1, 300);
      pass(1000);

      // THEN
      assertThat(fixture.state("a")).isEqualTo(JobState.SUCCEEDED);
    }

    /** Guards against a row that is written again with the capacity of an earlier one. */
    @Test
    void should_list_the_present_capacity() throws Exception {
      // GIVEN
      fixture.cell.register(fixture.workers.add("w1", "r1", 8000).entry);

      // WHEN
      addWorker(IN_THE_SAME_ROW);

      // THEN
      List<Used> listed = new ArrayList<>();
      for (TableRow row : fixture.table.rowsOf(Rows.USED_WORKER_TABLE)) {
        listed.addAll(Rows.decode(UsedWorkersRecord.class, row.value()).workers());
      }
      assertThat(listed).extracting(Used::id).containsExactly("w1", IN_THE_SAME_ROW);
      assertThat(listed.get(0).capacity().millicores()).isEqualTo(8000);
    }
  }

  @Nested
  class Fencing {
    /** Guards against a leader that takes its own higher token for that of another leader. */
    @Test
    void should_go_on_leading_when_a_worker_refuses_its_own_earlier_calls() {
      // GIVEN
      returning.nextStartDelay = Duration.ofMillis(2000);
      accept("a", 1, 300);

      // WHEN
      fixture.workers.crash("w1", DOWN);
      pass(8000);

      // THEN
      assertThat(fixture.fenced).isFalse();
      assertThat(fixture.state("a")).isEqualTo(JobState.SUCCEEDED);
    }

    @Test
    void should_notice_a_new_incarnation_from_the_registry_while_a_renewal_gets_no_answer() {
      // WHEN
      fixture.workers.crash("w1", Duration.ofMillis(20));
      pass(30);
      fixture.workers.entries().forEach(fixture.cell::register);
      pass(30);

      // THEN
      assertThat(eventsOf("worker-new-life")).hasSize(1);
    }

    @Test
    void should_keep_the_runs_of_a_worker_when_the_registry_is_wrong_about_its_incarnation() {
      // GIVEN
      accept("a", 2, 2000);
      pass(500);

      // WHEN
      returning.incarnation++;
      fixture.workers.entries().forEach(fixture.cell::register);
      returning.incarnation--;
      pass(4000);

      // THEN
      assertThat(fixture.state("a")).isEqualTo(JobState.SUCCEEDED);
      assertThat(fixture.workers.starts()).hasSize(2);
    }
  }

  @Nested
  class NextLeader {
    /** Has a long task started where a call in flight has granted a lease, then ends the leader. */
    private void loseLeaderAfterReturn(long millis) {
      fixture.workers.crash("w1", DOWN);
      accept("a", 1, 60_000);
      pass(millis);
      fixture.cell.close();
    }

    private void leadAgain() {
      fixture.workers.add("w2", "r1", 4000);
      fixture.lead();
      fixture.cell.formerLeadersEnded("closed");
    }

    /** Guards against a leader that does not know of a lease at a new incarnation. */
    @ParameterizedTest
    @ValueSource(longs = {0, 200, 600, 1500, 3000})
    void should_not_run_a_task_twice_that_a_former_leader_started_at_a_new_incarnation(
        long cutMillis) {
      // GIVEN
      loseLeaderAfterReturn(600);

      // WHEN
      returning.silent = cutMillis == 0;
      leadAgain();
      pass(cutMillis);
      returning.silent = true;
      pass(12_000);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(2);
    }

    /** Guards against a leader that lists a worker anew before it has heard it. */
    @Test
    void should_not_run_a_task_twice_when_the_next_leader_never_heard_the_worker() {
      // GIVEN
      loseLeaderAfterReturn(600);
      returning.silent = true;

      // WHEN
      fixture.lead();
      pass(100);
      fixture.cell.close();
      leadAgain();
      pass(12_000);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(2);
    }

    /** Guards against a wait for a lease that has ended long ago. */
    @Test
    void should_not_wait_longer_for_a_worker_that_returned_long_ago() {
      // GIVEN
      loseLeaderAfterReturn(12_000);

      // WHEN
      returning.silent = true;
      leadAgain();
      pass(5000);

      // THEN
      assertThat(fixture.startsOf("a.0.0.0")).isEqualTo(2);
    }
  }
}
