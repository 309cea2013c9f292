package org.masticspread.state.history;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.io.StringReader;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.Payload;
import org.masticspread.state.history.Violation.Guarantee;
import org.masticspread.state.testing.Samples;

class HistoryCheckerTest {
  private static final RequestKey REQUEST = Samples.requestKey("bill-1");
  private static final JobKey JOB = Samples.jobKey("layout-1");
  private static final TaskKey TASK = new TaskKey(JOB, 0);
  private static final Payload BODY = Payload.ofText("whole answer");
  private static final WorkerId WORKER = WorkerId.of("worker-1");
  private static final WorkerId OTHER = WorkerId.of("worker-2");
  private static final VmId VM = VmId.of("vm-a");

  private static Instant at(int second) {
    return Instant.ofEpochSecond(second);
  }

  private static HistoryEvent sent(String send, int at) {
    return new HistoryEvent.RequestSent(REQUEST, send, false, at(at));
  }

  private static HistoryEvent ran(int at) {
    return new HistoryEvent.RequestRan(REQUEST, BODY, at(at));
  }

  private static HistoryEvent answered(String send, ResultCode code, Payload body, int at) {
    return new HistoryEvent.RequestAnswered(REQUEST, send, code, body, at(at));
  }

  private static HistoryEvent started(int attempt, WorkerId worker, int at) {
    return new HistoryEvent.TaskStarted(TASK, attempt, worker, at(at));
  }

  private static HistoryEvent stopped(int attempt, WorkerId worker, int at) {
    return new HistoryEvent.TaskStopped(TASK, attempt, worker, at(at));
  }

  private static HistoryEvent inForce(long revision, int at) {
    return new HistoryEvent.ConfigInForce(VM, revision, at(at));
  }

  /**
   * A history that violates no guarantee: a request repeated after a not-run answer and after
   * success, and a task attempted twice.
   */
  private static List<HistoryEvent> validHistory() {
    return List.of(
        sent("s1", 1),
        answered("s1", ResultCode.OVERLOADED, Payload.EMPTY, 2),
        sent("s2", 3),
        ran(4),
        answered("s2", ResultCode.OK, BODY, 5),
        sent("s3", 6),
        answered("s3", ResultCode.OK, BODY, 7),
        new HistoryEvent.JobSubmitted(JOB, 1, true, at(1)),
        new HistoryEvent.JobAnswered(JOB, ResultCode.ACCEPTED, at(2)),
        started(1, WORKER, 3),
        stopped(1, WORKER, 5),
        started(2, OTHER, 6),
        stopped(2, OTHER, 9),
        new HistoryEvent.JobShown(JOB, JobPhase.SUCCEEDED, at(90)),
        inForce(1, 1),
        inForce(3, 2),
        inForce(3, 3));
  }

  static Stream<Arguments> violating() {
    JobKey lost = Samples.jobKey("lost");
    JobKey refused = Samples.jobKey("refused");
    JobKey once = Samples.jobKey("once");
    TaskKey onceTask = new TaskKey(once, 0);
    return Stream.of(
        Arguments.of(Guarantee.RAN_AT_MOST_ONCE, List.of(ran(8))),
        Arguments.of(
            Guarantee.RAN_AT_MOST_ONCE,
            List.of(
                new HistoryEvent.JobSubmitted(once, 1, false, at(1)),
                new HistoryEvent.TaskStarted(onceTask, 1, WORKER, at(2)),
                new HistoryEvent.TaskStopped(onceTask, 1, WORKER, at(3)),
                new HistoryEvent.TaskStarted(onceTask, 2, OTHER, at(4)))),
        Arguments.of(
            Guarantee.NEVER_TWO_PLACES, List.of(started(3, OTHER, 4), stopped(3, OTHER, 5))),
        Arguments.of(
            Guarantee.NEVER_TWO_PLACES, List.of(started(3, OTHER, 10), started(4, OTHER, 11))),
        Arguments.of(
            Guarantee.NOTHING_ACCEPTED_LOST,
            List.of(
                new HistoryEvent.JobSubmitted(lost, 1, true, at(1)),
                new HistoryEvent.JobAnswered(lost, ResultCode.ACCEPTED, at(2)))),
        Arguments.of(
            Guarantee.NOTHING_ACCEPTED_LOST,
            List.of(
                new HistoryEvent.JobSubmitted(lost, 2, true, at(1)),
                new HistoryEvent.JobAnswered(lost, ResultCode.ACCEPTED, at(2)),
                new HistoryEvent.JobShown(lost, JobPhase.SUCCEEDED, at(9)))),
        Arguments.of(
            Guarantee.NOT_RUN_IS_TRUE,
            List.of(
                new HistoryEvent.JobSubmitted(refused, 1, true, at(1)),
                new HistoryEvent.JobAnswered(refused, ResultCode.QUEUE_FULL, at(2)),
                new HistoryEvent.TaskStarted(new TaskKey(refused, 0), 1, WORKER, at(3)))),
        Arguments.of(
            Guarantee.NOT_RUN_IS_TRUE,
            List.of(
                new HistoryEvent.JobSubmitted(refused, 1, true, at(1)),
                new HistoryEvent.JobAnswered(refused, ResultCode.STORE_UNAVAILABLE, at(2)),
                new HistoryEvent.JobShown(refused, JobPhase.WAITING, at(3)))),
        Arguments.of(Guarantee.CONFIG_MONOTONIC, List.of(inForce(2, 4))),
        Arguments.of(
            Guarantee.WHOLE_ANSWER,
            List.of(sent("s4", 8), answered("s4", ResultCode.OK, Payload.ofText("whole"), 9))),
        Arguments.of(Guarantee.WHOLE_ANSWER, List.of(answered("s2", ResultCode.OK, BODY, 9))),
        Arguments.of(Guarantee.WHOLE_ANSWER, List.of(answered("never", ResultCode.OK, BODY, 9))));
  }

  @Test
  void should_find_nothing_in_a_valid_history() {
    // GIVEN // WHEN // THEN
    assertThat(HistoryChecker.check(validHistory())).isEmpty();
  }

  @ParameterizedTest
  @MethodSource("violating")
  void should_find_each_violation(Guarantee guarantee, List<HistoryEvent> violating) {
    // GIVEN
    List<HistoryEvent> events = new ArrayList<>(validHistory());
    events.addAll(violating);
    // WHEN // THEN
    assertThat(HistoryChecker.check(events)).extracting(Violation::promise).containsOnly(guarantee);
  }

  @Test
  void should_find_a_run_that_precedes_a_not_run_answer() {
    // GIVEN
    List<HistoryEvent> events =
        List.of(
            sent("s1", 1),
            ran(2),
            answered("s1", ResultCode.STOPPING, Payload.EMPTY, 3),
            sent("s2", 4));
    // WHEN // THEN
    assertThat(HistoryChecker.check(events))
        .extracting(Violation::promise)
        .containsExactly(Guarantee.NOT_RUN_IS_TRUE);
  }

  @Test
  void should_write_and_read_a_history_as_json_lines() throws Exception {
    // GIVEN
    HistoryRecorder recorder = new HistoryRecorder();
    validHistory().forEach(recorder::record);
    StringBuilder lines = new StringBuilder();
    // WHEN
    recorder.write(lines);
    HistoryRecorder read = HistoryRecorder.read(new StringReader(lines + "\n"));
    // THEN
    assertThat(read.events()).isEqualTo(validHistory());
    assertThat(read.check()).isEmpty();
    assertThatThrownBy(() -> HistoryRecorder.read(new StringReader(lines + "{}")))
        .hasMessageContaining("line " + (validHistory().size() + 1));
  }
}
