package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.cell.testing.FakeTable.CommitOutcome;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.cell.testing.VmCluster;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;
import org.masticspread.model.resource.ResourceVector;

/** Tests a leader that is cut off from the store while it still reaches workers. */
class CutOffLeaderTest {
  private static final String LEADER = "vm-2";
  private static final String SUCCESSOR = "vm-1";
  private static final List<String> WORKERS = List.of("w1", "w2", "w3", "w4", "w5", "w6");

  /** Run numbers of the first epoch are below this. */
  private static final long RUN_NUMBERS_PER_EPOCH = 1000;

  private final VmCluster cluster =
      new VmCluster(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));

  @BeforeEach
  void start() {
    WORKERS.forEach(worker -> cluster.workers.add(worker, "r1", 1000));
    cluster.start("vm-1", 1.0);
    cluster.start("vm-2", 2.0);
    cluster.start("vm-3", 0.5);
    pass(2500);
    assertThat(cluster.leaders()).containsExactly(LEADER);
  }

  private void pass(long millis) {
    cluster.time.pass(Duration.ofMillis(millis));
  }

  /** Has a job accepted whose tasks each fill a worker. */
  private void accept(String id, long millis, StepSpec... steps) {
    cluster.workers.describe(id, new ResourceVector(1000, 1024, 0), Duration.ofMillis(millis));
    List<CellReply> replies = cluster.call("vm-3", Action.SUBMIT, id, Jobs.job(id, steps));
    pass(200);
    assertThat(replies).extracting(CellReply::outcome).containsExactly(Outcome.ACCEPTED);
  }

  private static StepSpec step(int tasks, long millis, Integer... after) {
    return Jobs.step(tasks, 1000, Duration.ofMillis(millis), false, List.of(after));
  }

  private void cutOff(String vm, boolean cut) {
    cluster.cutFromStore(vm, cut);
    cluster.cutFromPeers(vm, cut);
  }

  private List<String> tasksRunTwice() {
    return cluster.workers.violations().stream().filter(v -> v.endsWith("runs twice")).toList();
  }

  /** Returns the starts that a leader of the first epoch ordered and workers carried out. */
  private List<String> startsOfFirstLeader() {
    return cluster.workers.starts().stream()
        .filter(start -> Long.parseLong(start.split(" ")[2]) < RUN_NUMBERS_PER_EPOCH)
        .toList();
  }

  @Nested
  class Renewals {
    /** Guards against two runs at once on a worker that the new leader cannot fence. */
    @Test
    void should_not_run_a_task_twice_when_a_cut_off_leader_still_reaches_a_worker() {
      // GIVEN
      accept("a", 20_000, step(5, 20_000));

      // WHEN
      cutOff(LEADER, true);
      cluster.cutFromWorker(SUCCESSOR, "w1", true);
      pass(12_000);
      cutOff(LEADER, false);
      cluster.cutFromWorker(SUCCESSOR, "w1", false);
      pass(12_000);

      // THEN
      assertThat(cluster.leaders()).containsExactly(SUCCESSOR);
      assertThat(tasksRunTwice()).isEmpty();
    }

    /** Guards against following VMs in its own part of the network keeping the leader going. */
    @Test
    void should_not_run_a_task_twice_when_a_vm_that_still_follows_is_cut_off_as_well() {
      // GIVEN
      cluster.start("vm-4", 0.4);
      cluster.start("vm-5", 0.3);
      pass(1000);
      accept("a", 20_000, step(5, 20_000));

      // WHEN
      for (String cut : List.of("vm-2", "vm-4", "vm-5")) {
        cluster.cutFromStore(cut, true);
        List.of("vm-1", "vm-3").forEach(other -> cluster.cutLink(cut, other, true));
      }
      cluster.cutFromWorker("vm-1", "w1", true);
      cluster.cutFromWorker("vm-3", "w1", true);
      pass(12_000);

      // THEN
      assertThat(cluster.leaders()).contains(SUCCESSOR);
      assertThat(tasksRunTwice()).isEmpty();
    }
  }

  @Nested
  class OrderOfLeases {
    /** Guards against restarts before the last lease that a deposed leader granted has expired. */
    @ParameterizedTest
    @ValueSource(longs = {-900, -600, -300, -50, 100, 300, 500, 700, 900, 1100, 1300, 1600, 2000})
    void should_restart_a_task_only_after_the_last_lease_on_a_slow_clock(long workerCutMillis) {
      // GIVEN
      WORKERS.forEach(worker -> cluster.workers.clockRate(worker, 0.98));
      accept("a", 30_000, step(5, 30_000));

      // WHEN
      pass(1000 + workerCutMillis);
      final long until = cluster.time.millis() + 12_000;
      if (workerCutMillis < 0) {
        cluster.cutFromWorker(SUCCESSOR, "w1", true);
        pass(-workerCutMillis);
      }
      cutOff(LEADER, true);
      if (workerCutMillis > 0) {
        pass(workerCutMillis);
        cluster.cutFromWorker(SUCCESSOR, "w1", true);
      }
      pass(until - cluster.time.millis());

      // THEN
      assertThat(cluster.leaders()).contains(SUCCESSOR);
      assertThat(tasksRunTwice()).isEmpty();
      assertThat(cluster.workers.starts()).anyMatch(s -> s.startsWith("w6 a"));
    }
  }

  @Nested
  class Starts {
    /** How long after the cut a leader without contact to the store may still order starts. */
    private static final long LAST_START_MILLIS = 3000;

    /** Guards against a deposed leader that starts tasks where no fence has reached yet. */
    @Test
    void should_start_nothing_on_a_worker_without_a_fence_once_another_vm_leads() {
      // GIVEN
      List<StepSpec> chain = new ArrayList<>();
      for (int i = 0; i < 60; i++) {
        chain.add(i == 0 ? step(1, 200) : step(1, 200, i - 1));
      }
      accept("filler", 60_000, step(5, 60_000));
      accept("a", 200, chain.toArray(StepSpec[]::new));

      // WHEN
      cutOff(LEADER, true);
      String free = freeWorker();
      cluster.cutFromWorker(SUCCESSOR, free, true);
      pass(LAST_START_MILLIS);
      final int before = startsOfFirstLeader().size();
      pass(4000);
      cutOff(LEADER, false);
      pass(1000);

      // THEN
      assertThat(cluster.leaders()).containsExactly(SUCCESSOR);
      assertThat(startsOfFirstLeader()).hasSize(before);
    }

    private String freeWorker() {
      return WORKERS.stream()
          .filter(
              w -> cluster.workers.starts().stream().noneMatch(s -> s.startsWith(w + " filler")))
          .findFirst()
          .orElseThrow();
    }
  }

  @Nested
  class NegativeAnswers {
    private List<Outcome> outcomes(String vm, Action action, String job) {
      List<CellReply> replies = cluster.call(vm, action, job, null);
      pass(3100);
      return replies.stream().map(CellReply::outcome).toList();
    }

    /** Guards against a cancelling that is acknowledged by a leader that does not know the job. */
    @ParameterizedTest
    @EnumSource(names = {"SHOW", "CANCEL"})
    void should_not_say_that_a_job_is_unknown_once_another_vm_may_have_accepted_it(Action action) {
      // GIVEN
      cutOff(LEADER, true);
      pass(1700);
      accept("a", 20_000, step(1, 20_000));

      // WHEN
      List<Outcome> outcomes = outcomes(LEADER, action, "a");

      // THEN
      assertThat(outcomes).containsExactly(Outcome.REFUSED);
    }

    @ParameterizedTest
    @EnumSource(names = {"SHOW", "CANCEL"})
    void should_answer_from_the_new_leader_while_it_reads_late_that_another_vm_leads(
        Action action) {
      // GIVEN
      cluster.storeDelay(LEADER, Duration.ofMillis(600));
      cluster.cutFromPeers(LEADER, true);
      while (!cluster.leaders().contains(SUCCESSOR)) {
        pass(10);
      }
      cluster.cutFromPeers(LEADER, false);
      accept("a", 20_000, step(1, 20_000));
      assertThat(cluster.leaders()).contains(LEADER);

      // WHEN
      List<Outcome> outcomes = outcomes(LEADER, action, "a");

      // THEN
      assertThat(outcomes)
          .containsExactly(action == Action.SHOW ? Outcome.SHOWN : Outcome.CANCELLED);
    }

    @ParameterizedTest
    @EnumSource(names = {"SHOW", "CANCEL"})
    void should_say_soon_that_a_job_is_unknown_while_the_store_answers(Action action) {
      // WHEN
      List<CellReply> replies = cluster.call("vm-3", action, "nobody's", null);
      pass(60);

      // THEN
      assertThat(replies).extracting(CellReply::outcome).containsExactly(Outcome.UNKNOWN_JOB);
    }
  }

  @Nested
  class StoreLostForAll {
    /** Guards against a leader that lets all work lapse because no VM reaches the store. */
    @Test
    void should_go_on_starting_and_renewing_while_the_store_answers_nobody() {
      // GIVEN
      accept("a", 1500, step(5, 1500), step(5, 1500, 0), step(5, 1500, 1), step(5, 1500, 2));
      cluster.table.always(CommitOutcome.SILENT);

      // WHEN
      pass(11_000);

      // THEN
      assertThat(cluster.leaders()).containsExactly(LEADER);
      assertThat(cluster.workers.succeeded()).hasSize(20);
      assertThat(cluster.workers.violations()).isEmpty();
    }
  }
}
