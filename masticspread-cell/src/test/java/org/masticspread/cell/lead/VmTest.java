package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.FakeTable.CommitOutcome;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.cell.testing.VmCluster;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.JobState;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;
import org.masticspread.model.resource.ResourceVector;

/** Tests three VMs, one of which leads, under faults of VMs, links and the store. */
class VmTest {
  private final VmCluster cluster =
      new VmCluster(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));

  @BeforeEach
  void start() {
    cluster.workers.add("w1", "r1", 8000);
    cluster.workers.add("w2", "r1", 8000);
    cluster.start("vm-1", 1.0);
    cluster.start("vm-2", 2.0);
    cluster.start("vm-3", 0.5);
    pass(2500);
  }

  @AfterEach
  void should_never_violate_an_invariant() {
    assertThat(cluster.workers.violations()).isEmpty();
  }

  private void pass(long millis) {
    cluster.time.pass(Duration.ofMillis(millis));
  }

  private JobOrder job(String id, long millis) {
    cluster.workers.describe(id, new ResourceVector(500, 1024, 0), Duration.ofMillis(millis));
    return Jobs.job(id, Jobs.step(2, 500, Duration.ofMillis(millis), false));
  }

  private CellReply submitAndWait(String vm, String id, long millis) {
    List<CellReply> replies = cluster.call(vm, Action.SUBMIT, id, job(id, millis));
    pass(3100);
    return replies.get(0);
  }

  private JobState state(String vm, String id) {
    List<CellReply> replies = cluster.call(vm, Action.SHOW, id, null);
    pass(100);
    return replies.isEmpty() ? null : replies.get(0).state();
  }

  /** Submits a job every 50 ms to each VM in turn and returns all replies. */
  private List<List<CellReply>> submitLoad(int jobs, String... vms) {
    List<List<CellReply>> replies = new ArrayList<>();
    for (int i = 0; i < jobs; i++) {
      String id = "load" + cluster.time.millis();
      replies.add(cluster.call(vms[i % vms.length], Action.SUBMIT, id, job(id, 200)));
      pass(50);
    }
    pass(8000);
    return replies;
  }

  private static long countAccepted(List<List<CellReply>> replies) {
    return replies.stream()
        .flatMap(List::stream)
        .filter(reply -> reply.outcome() == Outcome.ACCEPTED)
        .count();
  }

  /** Asserts that each accepted job has run and that each of its tasks succeeded exactly once. */
  private void assertAllRan(List<List<CellReply>> replies) {
    List<String> succeeded = cluster.workers.succeeded();
    assertThat(succeeded).hasSize(new HashSet<>(succeeded).size());
    assertThat(succeeded.size()).isGreaterThanOrEqualTo((int) (2 * countAccepted(replies)));
  }

  @Nested
  class StoreSilent {
    /**
     * Guards against new calls waiting behind calls that a store outage holds up, as in the day
     * {@code trouble-3} of the users' large site.
     */
    @Test
    void should_refuse_calls_at_once_while_earlier_ones_wait_for_the_store() {
      // GIVEN as many calls as a VM sends concurrently, none of which can be stored
      cluster.table.always(CommitOutcome.SILENT);
      for (int i = 0; i < 20; i++) {
        String id = "early" + i;
        cluster.call("vm-1", Action.SUBMIT, id, job(id, 100));
      }
      pass(600);

      // WHEN
      List<CellReply> replies = cluster.call("vm-1", Action.SUBMIT, "late", job("late", 100));
      pass(100);

      // THEN
      assertThat(replies).extracting(CellReply::outcome).containsExactly(Outcome.REFUSED);
      cluster.table.always(CommitOutcome.DONE);
      pass(5000);
      assertThat(cluster.workers.succeeded()).noneMatch(task -> task.startsWith("late"));
    }
  }

  @Nested
  class Startup {
    @Test
    void should_let_the_strongest_vm_lead() {
      // THEN
      assertThat(cluster.leaders()).containsExactly("vm-2");
    }

    @Test
    void should_forward_calls_from_any_vm() {
      // WHEN
      CellReply reply = submitAndWait("vm-3", "a", 200);

      // THEN
      assertThat(reply.outcome()).isEqualTo(Outcome.ACCEPTED);
      assertThat(state("vm-1", "a")).isEqualTo(JobState.SUCCEEDED);
    }
  }

  @Nested
  class Kill {
    @Test
    void should_serve_again_within_1500_ms() {
      // WHEN
      cluster.kill("vm-2");
      pass(1500);

      // THEN
      assertThat(cluster.leaders()).containsExactly("vm-1");
    }

    @Test
    void should_answer_calls_made_during_the_failover() {
      // GIVEN
      cluster.kill("vm-2");

      // WHEN
      List<List<CellReply>> replies = submitLoad(60, "vm-1", "vm-3");

      // THEN
      assertThat(replies).allSatisfy(reply -> assertThat(reply).hasSize(1));
      assertThat(countAccepted(replies)).isGreaterThanOrEqualTo(50);
      assertAllRan(replies);
    }

    @Test
    void should_take_over_at_once_from_its_own_earlier_incarnation() {
      // WHEN
      cluster.kill("vm-1");
      cluster.kill("vm-2");
      cluster.kill("vm-3");
      cluster.start("vm-2", 2.0);
      pass(300);

      // THEN
      assertThat(cluster.leaders()).containsExactly("vm-2");
    }

    @Test
    void should_survive_a_crash_of_all_processes() {
      // GIVEN
      List<CellReply> last = cluster.call("vm-1", Action.SUBMIT, "last", job("last", 3000));
      pass(200);
      assertThat(last).extracting(CellReply::outcome).containsExactly(Outcome.ACCEPTED);

      // WHEN
      List.of("vm-1", "vm-2", "vm-3").forEach(cluster::kill);
      pass(1000);
      List.of("vm-1", "vm-2", "vm-3").forEach(vm -> cluster.start(vm, 1.0));
      pass(12_000);

      // THEN
      assertThat(state("vm-3", "last")).isEqualTo(JobState.SUCCEEDED);
      assertAllRan(submitLoad(20, "vm-1", "vm-3"));
    }
  }

  @Nested
  class Stop {
    @Test
    void should_hand_over_before_it_stops() {
      // GIVEN
      boolean[] done = {false};

      // WHEN
      cluster.vm("vm-2").stop(() -> done[0] = true);
      pass(300);

      // THEN
      assertThat(done[0]).isTrue();
      assertThat(cluster.leaders()).containsExactly("vm-1");
    }

    @Test
    void should_refuse_nothing_during_a_rolling_restart() {
      // GIVEN
      cluster.vm("vm-2").stop(() -> cluster.kill("vm-2"));

      // WHEN
      final List<List<CellReply>> replies = new ArrayList<>(submitLoad(20, "vm-1", "vm-3"));
      cluster.start("vm-2", 2.0);
      pass(1000);
      cluster.vm("vm-1").stop(() -> cluster.kill("vm-1"));
      replies.addAll(submitLoad(20, "vm-2", "vm-3"));

      // THEN
      assertThat(countAccepted(replies)).isEqualTo(40);
      assertAllRan(replies);
    }
  }

  @Nested
  class LateAnswerToClaim {
    @Test
    void should_commit_jobs_when_another_vm_tells_of_the_new_leader_before_the_store_does() {
      // GIVEN
      cluster.storeDelay("vm-1", Duration.ofMillis(400));

      // WHEN
      cluster.vm("vm-2").stop(() -> {});
      pass(3000);
      cluster.storeDelay("vm-1", Duration.ZERO);
      pass(3000);
      CellReply reply = submitAndWait("vm-3", "a", 200);

      // THEN
      assertThat(cluster.leaders()).containsExactly("vm-1");
      assertThat(reply.outcome()).isEqualTo(Outcome.ACCEPTED);
      assertThat(state("vm-3", "a")).isEqualTo(JobState.SUCCEEDED);
    }
  }

  @Nested
  class QueueDropped {
    /**
     * Guards against accepted jobs that a new leader leaves alone as it does not know their queue.
     */
    @Test
    void should_run_the_later_steps_of_accepted_jobs_after_a_failover() {
      // GIVEN
      cluster.workers.describe("a", new ResourceVector(500, 1024, 0), Duration.ofSeconds(1));
      JobOrder chain =
          Jobs.job(
              "a",
              Jobs.step(1, 500, Duration.ofSeconds(1), false),
              Jobs.step(1, 500, Duration.ofSeconds(1), false, List.of(0)));
      cluster.call("vm-1", Action.SUBMIT, "a", chain);
      pass(200);

      // WHEN
      cluster.configure(Jobs.config(2, Jobs.queue("other", 0, Optional.empty())));
      pass(500);
      cluster.kill("vm-2");
      pass(8000);

      // THEN
      assertThat(cluster.workers.succeeded()).containsExactly("a.0.0.0", "a.0.1.0");
    }
  }

  @Nested
  class StoreCut {
    @Test
    void should_hand_over_when_only_the_leader_loses_the_store() {
      // GIVEN
      cluster.cutFromStore("vm-2", true);

      // WHEN
      List<List<CellReply>> replies = submitLoad(60, "vm-1", "vm-2", "vm-3");

      // THEN
      assertThat(cluster.leaders()).doesNotContain("vm-2");
      assertThat(countAccepted(replies)).isGreaterThanOrEqualTo(40);
      assertAllRan(replies);
    }

    @Test
    void should_keep_running_tasks_while_no_vm_reaches_the_store() {
      // GIVEN
      List<CellReply> replies = cluster.call("vm-1", Action.SUBMIT, "a", job("a", 2000));
      pass(100);
      assertThat(replies).extracting(CellReply::outcome).containsExactly(Outcome.ACCEPTED);
      cluster.table.always(CommitOutcome.SILENT);

      // WHEN
      pass(4000);

      // THEN
      assertThat(cluster.leaders()).containsExactly("vm-2");
      assertThat(cluster.workers.succeeded()).hasSize(2);
      cluster.table.always(CommitOutcome.DONE);
      pass(3000);
      assertThat(state("vm-1", "a")).isEqualTo(JobState.SUCCEEDED);
    }
  }

  @Nested
  class PeersCut {
    @Test
    void should_replace_a_leader_that_no_other_vm_hears() {
      // WHEN
      cluster.cutFromPeers("vm-2", true);
      List<List<CellReply>> replies = submitLoad(60, "vm-1", "vm-3");

      // THEN
      assertThat(cluster.leaders()).containsExactly("vm-1");
      assertAllRan(replies);
    }

    @Test
    void should_keep_the_leader_when_one_other_vm_is_cut_off() {
      // WHEN
      cluster.cutFromPeers("vm-3", true);
      pass(1200);

      // THEN
      assertThat(cluster.leaders()).containsExactly("vm-2");
    }
  }

  @Nested
  class SilentConnections {
    /** The time for which a worker that leaves serves on; no task may start on it afterwards. */
    private static final int DRAIN_BOUND_MS = 2000;

    @Test
    void should_notice_in_time_that_a_worker_leaves_while_the_poll_of_the_registry_hangs() {
      // GIVEN
      cluster.silencePolls("vm-2", "servers");

      // WHEN
      cluster.unregister("w1");
      pass(DRAIN_BOUND_MS);

      // THEN
      assertThat(cluster.vm("vm-2").cell().orElseThrow().usableWorkers()).isEqualTo(1);
    }
  }

  @Nested
  class RegistryEntryLapsed {
    private String task;
    private String worker;

    @BeforeEach
    void lapseEntryOfBusyWorker() {
      cluster.call("vm-1", Action.SUBMIT, "a", job("a", 6000));
      pass(300);
      String[] start = cluster.workers.starts().get(0).split(" ");
      worker = start[0];
      task = start[1];
      cluster.unregister(worker);
      pass(300);
    }

    @Test
    void should_not_restart_a_task_that_still_runs_after_a_failover() {
      // WHEN
      cluster.kill("vm-2");
      pass(10_000);

      // THEN
      assertThat(cluster.workers.starts()).filteredOn(start -> start.contains(task)).hasSize(1);
      assertThat(state("vm-1", "a")).isEqualTo(JobState.SUCCEEDED);
    }

    @Test
    void should_wait_for_the_lease_of_a_worker_that_does_not_answer_the_new_leader() {
      // GIVEN
      cluster.workers.state(worker).silent = true;

      // WHEN
      cluster.kill("vm-2");
      pass(15_000);

      // THEN
      assertThat(cluster.workers.starts()).filteredOn(start -> start.contains(task)).hasSize(2);
      assertThat(state("vm-1", "a")).isEqualTo(JobState.SUCCEEDED);
    }
  }
}
