package org.masticspread.platform.contract;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.masticspread.platform.contract.PlatformFixture.HALF_CAPACITY;
import static org.masticspread.platform.contract.PlatformFixture.WORKER;
import static org.masticspread.platform.contract.PlatformFixture.task;

import java.time.Duration;
import java.util.List;
import org.assertj.core.api.ThrowableAssert.ThrowingCallable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerException.Reason;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.platform.standin.FaultKind;

/** Contract of every worker adapter. */
abstract class WorkerContract extends PlatformContract {
  private void start(int index, int attempt, String command) throws WorkerException {
    platform.workers.start(WORKER, 1, platform.start(index, attempt, command));
  }

  private WorkerTask onlyTask() throws WorkerException {
    List<WorkerTask> tasks = platform.workers.seal(WORKER, 1).tasks();
    assertThat(tasks).hasSize(1);
    return tasks.get(0);
  }

  private static void assertRejected(Reason reason, ThrowingCallable call) {
    assertThatThrownBy(call)
        .isInstanceOfSatisfying(
            WorkerException.class, e -> assertThat(e.reason()).isEqualTo(reason));
  }

  @ParameterizedTest
  @CsvSource({
    "sleep:PT10S, 9.999, RUNNING, 9.999",
    "sleep:PT10S, 10, SUCCEEDED, 10",
    "sleep:PT31S, 60, LAPSED, 30",
    "sleep:PT30S, 60, SUCCEEDED, 30",
    "service, 29, RUNNING, 29",
    "service, 30, LAPSED, 30",
    "fail, 0, FAILED, 0",
    "fail:PT2S, 1, RUNNING, 1",
    "fail:PT2S, 3, FAILED, 2",
    "fail-on:w1, 0, FAILED, 0",
    "fail-on:w2, 0, SUCCEEDED, 0",
    "unheard of, 0, FAILED, 0"
  })
  void should_end_tasks_by_command_and_lease(
      String command, double seconds, WorkerTaskPhase phase, double ranFor) throws Exception {
    // GIVEN
    start(0, 1, command);

    // WHEN
    platform.time.advance(Duration.ofMillis((long) (seconds * 1000)));

    // THEN
    assertThat(onlyTask().phase()).isEqualTo(phase);
    assertThat(onlyTask().ranFor()).isEqualTo(Duration.ofMillis((long) (ranFor * 1000)));
  }

  @Test
  void should_reject_calls_with_a_reason_and_start_nothing() throws Exception {
    // GIVEN
    start(0, 2, "service");
    StartTask late = platform.start(1, 1, "service");
    platform.workers.seal(WORKER, 5);

    // WHEN / THEN
    assertRejected(Reason.STALE_EPOCH, () -> platform.workers.seal(WORKER, 4));
    assertRejected(Reason.STALE_EPOCH, () -> platform.workers.start(WORKER, 4, late));
    assertRejected(
        Reason.STALE_EPOCH, () -> platform.workers.renew(WORKER, 4, late.leaseUntil(), List.of()));
    assertRejected(
        Reason.STALE_EPOCH,
        () -> platform.workers.order(WORKER, 4, new TaskAttempt(task(0), 2), TaskOrder.STOP));
    assertRejected(
        Reason.DUPLICATE, () -> platform.workers.start(WORKER, 5, platform.start(0, 1, "service")));
    assertRejected(
        Reason.DUPLICATE, () -> platform.workers.start(WORKER, 5, platform.start(0, 3, "service")));
    platform.workers.start(WORKER, 5, platform.start(2, 1, "service"));
    assertRejected(
        Reason.OVERFULL, () -> platform.workers.start(WORKER, 5, platform.start(3, 1, "service")));
    platform.time.advance(Duration.ofSeconds(1));
    assertRejected(Reason.TOO_LATE, () -> platform.workers.start(WORKER, 5, late));
    assertRejected(Reason.UNREACHABLE, () -> platform.workers.seal(WorkerId.of("none"), 1));
    assertThat(platform.fleet.runs()).hasSize(2);
    assertThat(platform.fleet.held(WORKER)).isEqualTo(HALF_CAPACITY.times(2));
  }

  @Test
  void should_keep_ended_tasks_until_acknowledged_and_never_run_an_attempt_again()
      throws Exception {
    // GIVEN
    start(0, 1, "fail");
    TaskAttempt attempt = new TaskAttempt(task(0), 1);

    // WHEN
    var before = platform.workers.renew(WORKER, 1, platform.time.instant(), List.of());
    var after = platform.workers.renew(WORKER, 1, platform.time.instant(), List.of(attempt));

    // THEN
    assertThat(before.tasks()).hasSize(1);
    assertThat(after.tasks()).isEmpty();
    assertRejected(Reason.DUPLICATE, () -> start(0, 1, "service"));
    start(0, 2, "service");
    assertThat(onlyTask().attempt()).isEqualTo(2);
  }

  @Test
  void should_extend_leases_but_not_expired_ones() throws Exception {
    // GIVEN
    start(0, 1, "service");
    platform.time.advance(Duration.ofSeconds(29));

    // WHEN
    platform.workers.renew(WORKER, 1, platform.time.instant().plusSeconds(10), List.of());
    platform.time.advance(Duration.ofSeconds(9));
    WorkerTaskPhase renewed = onlyTask().phase();
    platform.time.advance(Duration.ofSeconds(1));
    platform.workers.renew(WORKER, 1, platform.time.instant().plusSeconds(10), List.of());

    // THEN
    assertThat(renewed).isEqualTo(WorkerTaskPhase.RUNNING);
    assertThat(onlyTask().phase()).isEqualTo(WorkerTaskPhase.LAPSED);
  }

  @Test
  void should_apply_orders_and_report_usage_with_a_lag() throws Exception {
    // GIVEN
    start(0, 1, "sleep:PT10S use:1000:10:0");
    TaskAttempt attempt = new TaskAttempt(task(0), 1);

    // WHEN
    platform.workers.order(WORKER, 1, new TaskAttempt(task(0), 9), TaskOrder.STOP);
    platform.workers.order(WORKER, 1, attempt, TaskOrder.THROTTLE);
    final WorkerTask early = onlyTask();
    platform.time.advance(Duration.ofSeconds(12));
    final WorkerTask throttled = onlyTask();
    platform.workers.order(WORKER, 1, attempt, TaskOrder.UNTHROTTLE);
    platform.time.advance(Duration.ofSeconds(3));
    final WorkerTaskPhase before = onlyTask().phase();
    platform.workers.order(WORKER, 1, attempt, TaskOrder.CHECKPOINT);
    WorkerTask stopped = onlyTask();

    // THEN
    assertThat(early.usage()).isEqualTo(ResourceVector.ZERO);
    assertThat(throttled.throttled()).isTrue();
    assertThat(throttled.usage()).isEqualTo(new ResourceVector(500, 10, 0));
    assertThat(before).isEqualTo(WorkerTaskPhase.RUNNING);
    assertThat(stopped.phase()).isEqualTo(WorkerTaskPhase.STOPPED);
    assertThat(stopped.checkpointed()).isTrue();
    assertThat(platform.fleet.held(WORKER)).isEqualTo(ResourceVector.ZERO);
  }

  @ParameterizedTest
  @CsvSource({
    "DOWN, UNREACHABLE, 0",
    "ERROR_BEFORE_EFFECT, NO_ANSWER, 0",
    "SILENT, NO_ANSWER, 0",
    "ANSWER_LOST, NO_ANSWER, 1",
    "CUT, NO_ANSWER, 1",
    "FOREIGN, NO_ANSWER, 1",
    "DUPLICATE, , 1",
    "STALE, , 1"
  })
  void should_report_whether_a_start_may_have_taken_effect(
      FaultKind kind, Reason reason, int runs) {
    // GIVEN
    FaultRules.activate(platform.faults.on("worker.start/w1").times(1), kind);

    // WHEN
    Reason reported = null;
    try {
      start(0, 1, "service");
    } catch (WorkerException e) {
      reported = e.reason();
    }

    // THEN
    assertThat(reported).isEqualTo(reason);
    assertThat(platform.fleet.runs()).hasSize(runs);
  }

  @Test
  void should_lose_all_tasks_when_a_worker_dies() throws Exception {
    // GIVEN
    start(0, 1, "service");

    // WHEN
    platform.fleet.kill(WORKER);

    // THEN
    assertRejected(Reason.UNREACHABLE, () -> platform.workers.seal(WORKER, 1));
    platform.fleet.revive(WORKER);
    assertThat(platform.workers.seal(WORKER, 1).tasks()).isEmpty();
    assertThat(platform.fleet.runs().get(0).ended()).isNotNull();
  }
}
