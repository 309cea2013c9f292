package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.cell.testing.VmCluster;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;
import org.masticspread.model.resource.ResourceVector;

/**
 * Tests calls of a former leader that are in flight at a worker which has just started again and
 * has seen no fencing token yet.
 */
class FormerLeaderTest {
  private static final String LEADER = "vm-2";
  private static final String SUCCESSOR = "vm-1";
  private static final List<String> VMS = List.of(SUCCESSOR, LEADER, "vm-3");
  private static final List<String> WORKERS = List.of("w1", "w2", "w3", "w4", "w5", "w6");
  private static final String TASK = "a.0.0.0";

  /** How long the other workers are busy, until the next leader can use them. */
  private static final long BUSY_MILLIS = 2500;

  private static final Duration DOWN = Duration.ofMillis(600);

  /** Until then, the registry shows the former incarnation. */
  private static final Duration REGISTRATION = Duration.ofSeconds(10);

  private final VmCluster cluster =
      new VmCluster(Jobs.config(Jobs.queue("checks", 0, Optional.empty())));

  @BeforeEach
  void start() {
    cluster.workers.bindsCalls = true;
    WORKERS.forEach(worker -> cluster.workers.add(worker, "r1", 1000));
    cluster.start(SUCCESSOR, 1.0);
    cluster.start(LEADER, 2.0);
    cluster.start("vm-3", 0.5);
    pass(2500);
    assertThat(cluster.leaders()).containsExactly(LEADER);
  }

  @AfterEach
  void should_never_run_a_task_twice() {
    assertThat(cluster.workers.violations()).isEmpty();
  }

  private void pass(long millis) {
    cluster.time.pass(Duration.ofMillis(millis));
  }

  private void accept(String id, int tasks, long millis) {
    Duration runs = Duration.ofMillis(millis);
    cluster.workers.describe(id, new ResourceVector(1000, 1024, 0), runs);
    List<CellReply> replies =
        cluster.call("vm-3", Action.SUBMIT, id, Jobs.job(id, Jobs.step(tasks, 1000, runs, false)));
    pass(200);
    assertThat(replies).extracting(CellReply::outcome).containsExactly(Outcome.ACCEPTED);
  }

  /** Has a start in flight at a worker that is down, and cuts the worker off before it answers. */
  private String crashAndStart(double clockRate, long clockAheadMillis) {
    WORKERS.forEach(worker -> cluster.workers.clockRate(worker, clockRate));
    accept("filler", 5, BUSY_MILLIS);
    String free =
        WORKERS.stream()
            .filter(w -> cluster.workers.starts().stream().noneMatch(s -> s.startsWith(w)))
            .findFirst()
            .orElseThrow();
    cluster.crashWorker(free, DOWN, cluster.time.millis() + clockAheadMillis, REGISTRATION);
    accept("a", 1, 30_000);
    assertThat(cluster.events).anyMatch(e -> e.contains(" task-start " + TASK));
    cluster.time.after(
        Duration.ofMillis(390), () -> VMS.forEach(name -> cluster.cutFromWorker(name, free, true)));
    return free;
  }

  private void assertStartedOnceElsewhere(String worker) {
    assertThat(cluster.leaders()).containsExactly(SUCCESSOR);
    assertThat(cluster.workers.starts())
        .filteredOn(start -> start.contains(TASK))
        .noneMatch(start -> start.startsWith(worker))
        .hasSize(1);
    assertThat(cluster.workers.runs(TASK)).isTrue();
  }

  /** Guards against a start of a leader that was suspended after it had sent it. */
  @ParameterizedTest
  @CsvSource({
    "1, -900000, 3000",
    "0.98, -900000, 3000",
    "1, -2000, 5000",
    "0.98, -2000, 5000",
    "1, 1000, 8000",
    "0.98, 1000, 8000",
    "0.98, 60000, 8000"
  })
  void should_not_run_a_task_twice_when_the_leader_was_suspended(
      double clockRate, long clockAheadMillis, long freezeMillis) {
    // GIVEN
    String returning = crashAndStart(clockRate, clockAheadMillis);

    // WHEN
    cluster.freeze(LEADER, Duration.ofMillis(freezeMillis));
    pass(12_000);

    // THEN
    assertStartedOnceElsewhere(returning);
  }

  /** Guards against a suspended leader that goes on where a worker has seen no other token. */
  @ParameterizedTest
  @CsvSource({"1, 2500", "1, 3500", "0.98, 2500", "0.98, 3500", "0.98, 5000", "0.98, 7000"})
  void should_not_run_a_task_twice_when_a_suspended_leader_goes_on_at_a_worker_that_returned(
      double clockRate, long freezeMillis) {
    // GIVEN
    String returning = crashAndStart(clockRate, -2000);

    // WHEN
    cluster.freeze(LEADER, Duration.ofMillis(freezeMillis));
    pass(freezeMillis - 50);
    cluster.cutFromWorker(LEADER, returning, false);
    pass(14_000 - freezeMillis);

    // THEN
    assertStartedOnceElsewhere(returning);
  }

  /** Guards against calls that a leader had in flight when it stopped as planned. */
  @ParameterizedTest
  @CsvSource({
    "1, -900000",
    "0.98, -900000",
    "1, -2000",
    "0.98, -2000",
    "1, 1000",
    "0.98, 1000",
    "0.98, 60000"
  })
  void should_not_run_a_task_twice_when_the_leader_stops_as_planned(
      double clockRate, long clockAheadMillis) {
    // GIVEN
    String returning = crashAndStart(clockRate, clockAheadMillis);

    // WHEN
    cluster.vm(LEADER).stop(() -> cluster.kill(LEADER));
    pass(12_000);

    // THEN
    assertStartedOnceElsewhere(returning);
  }
}
