package org.masticspread.state.shard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.codec.Mappers;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.state.format.RecordFormatException;
import org.masticspread.state.shard.JournalRecord.JobAccepted;
import org.masticspread.state.shard.JournalRecord.JobCancelled;
import org.masticspread.state.shard.JournalRecord.JobParked;
import org.masticspread.state.shard.JournalRecord.JobResumed;
import org.masticspread.state.shard.JournalRecord.RequestEnded;
import org.masticspread.state.shard.JournalRecord.RequestStarted;
import org.masticspread.state.shard.JournalRecord.TaskEnded;
import org.masticspread.state.shard.JournalRecord.TaskStartMarked;
import org.masticspread.state.testing.Samples;

class WorkShardStateTest {
  private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
  private static final ShardId SHARD = ShardId.work(2);
  private static final WorkerId WORKER = WorkerId.of("worker-1");
  private static final RequestSpec REQUEST =
      Samples.request("bill-1", "2 ribbons", NOW.plusSeconds(30));
  private static final RequestKey KEY = REQUEST.key();
  private static final Payload BODY = Payload.ofText("billed");

  private final WorkShardState state = new WorkShardState(SHARD, Retention.DEFAULT);

  private static TaskKey task(String job, int index) {
    return new TaskKey(Samples.jobKey(job), index);
  }

  private static TaskEnded ended(String job, int index, int attempt, TaskPhase phase) {
    return new TaskEnded(task(job, index), attempt, phase, WORKER, "done", NOW);
  }

  private static RequestStarted requestStarted(RequestSpec request) {
    return new RequestStarted(request.key(), Fingerprint.of(request), NOW);
  }

  private static RequestEnded requestEnded(ResultCode code) {
    return new RequestEnded(KEY, code, BODY, "", NOW);
  }

  private static WorkShardState copy(WorkShardState state) throws RecordFormatException {
    return WorkShardState.restore("snapshot", SHARD, state.snapshot(), Retention.DEFAULT);
  }

  @Nested
  class BeginRequest {
    @Test
    void should_reserve_an_id_for_one_of_two_callers() {
      // GIVEN // WHEN // THEN
      assertThat(state.beginRequest(REQUEST, NOW)).isEqualTo(BeginRequestResult.NEW);
      assertThat(state.beginRequest(REQUEST, NOW)).isEqualTo(BeginRequestResult.IN_FLIGHT);
      state.abandonRequest(KEY);
      assertThat(state.beginRequest(REQUEST, NOW)).isEqualTo(BeginRequestResult.NEW);
    }

    @ParameterizedTest
    @CsvSource({"OK", "ENDPOINT_ERROR", "OUTCOME_UNKNOWN"})
    void should_answer_a_repeat_from_the_record(ResultCode code) throws Exception {
      // GIVEN
      state.beginRequest(REQUEST, NOW);
      state.apply(requestStarted(REQUEST));
      state.apply(requestEnded(code));
      // WHEN // THEN
      for (WorkShardState s : List.of(state, copy(state))) {
        Answer answer = s.beginRequest(REQUEST, NOW.plusSeconds(99)).answer();
        assertThat(answer).isEqualTo(new Answer(KEY, code, BODY, "", Duration.ZERO));
      }
    }

    @Test
    void should_release_the_id_after_a_not_run_result() {
      // GIVEN
      state.apply(requestStarted(REQUEST));
      state.apply(requestEnded(ResultCode.OVERLOADED));
      // WHEN // THEN
      assertThat(state.beginRequest(REQUEST, NOW)).isEqualTo(BeginRequestResult.NEW);
    }

    @Test
    void should_answer_outcome_unknown_for_a_request_started_by_a_former_owner() throws Exception {
      // GIVEN
      state.beginRequest(REQUEST, NOW);
      state.apply(requestStarted(REQUEST));
      assertThat(state.answer(KEY)).isEmpty();
      // WHEN
      WorkShardState recovered = copy(state);
      // THEN
      BeginRequestResult begin = recovered.beginRequest(REQUEST, NOW);
      assertThat(begin.kind()).isEqualTo(BeginRequestResult.Kind.DECIDED);
      assertThat(begin.answer().code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }

    @Test
    void should_refuse_the_same_id_with_other_content() {
      // GIVEN
      RequestSpec other = Samples.request("bill-1", "3 ribbons", NOW.plusSeconds(30));
      state.beginRequest(REQUEST, NOW);
      // WHEN // THEN
      assertThat(state.beginRequest(other, NOW).answer().code()).isEqualTo(ResultCode.ID_REUSED);
      state.apply(requestStarted(REQUEST));
      state.apply(requestEnded(ResultCode.OK));
      assertThat(state.beginRequest(other, NOW).answer().code()).isEqualTo(ResultCode.ID_REUSED);
    }

    @ParameterizedTest
    @CsvSource({
      "plain-id, 0, DEADLINE_PASSED",
      "plain-id, 600, ",
      "plain-id, 601, INVALID_FIELD",
      "t1796378400000-x, 30, ",
      "t1796378461000-x, 30, INVALID_FIELD",
      "t1796288399999-x, 30, RECORD_EXPIRED",
      "t1796288400000-x, 30, "
    })
    void should_validate_the_time_in_an_id_and_the_answer_by_time(
        String id, int seconds, ResultCode code) {
      // GIVEN
      RequestSpec request = Samples.request(id, "x", NOW.plusSeconds(seconds));
      // WHEN
      BeginRequestResult begin = state.beginRequest(request, NOW);
      // THEN
      assertThat(begin.answer() == null ? null : begin.answer().code()).isEqualTo(code);
    }
  }

  @Nested
  class Expiry {
    private WorkShardState expireAt(Instant now) {
      Optional<JournalRecord.RecordsExpired> due = state.dueExpiry(now);
      due.ifPresent(state::apply);
      return state;
    }

    @Test
    void should_answer_record_expired_until_the_hash_expires() throws Exception {
      // GIVEN
      state.apply(requestStarted(REQUEST));
      state.apply(requestEnded(ResultCode.OK));
      assertThat(state.dueExpiry(NOW.plus(Duration.ofHours(1)))).isEmpty();
      // WHEN
      Instant later = NOW.plus(Duration.ofMinutes(61));
      expireAt(later);
      // THEN
      RequestSpec again = Samples.request("bill-1", "2 ribbons", later.plusSeconds(30));
      assertThat(state.requestCount()).isZero();
      Answer answer = copy(state).beginRequest(again, later).answer();
      assertThat(answer.code()).isEqualTo(ResultCode.RECORD_EXPIRED);
      assertThat(answer.code().runState()).isEqualTo(RunState.UNKNOWN);
      // WHEN
      expireAt(later.plus(Duration.ofHours(26)));
      // THEN
      assertThat(state.beginRequest(again, later)).isEqualTo(BeginRequestResult.NEW);
    }

    @Test
    void should_expire_only_ended_jobs() {
      // GIVEN
      state.apply(new JobAccepted(Samples.job("done", 1, true), NOW));
      state.apply(new JobAccepted(Samples.job("open", 1, true), NOW));
      state.apply(ended("done", 0, 1, TaskPhase.SUCCEEDED));
      // WHEN
      expireAt(NOW.plus(Duration.ofDays(9)));
      // THEN
      assertThat(state.jobCount()).isEqualTo(1);
      assertThat(state.beginJob(Samples.job("done", 1, true)).code())
          .isEqualTo(ResultCode.RECORD_EXPIRED);
    }
  }

  @Nested
  class Jobs {
    @Test
    void should_accept_each_id_once() {
      // GIVEN
      var job = Samples.job("a", 1, true);
      // WHEN // THEN
      assertThat(state.beginJob(job).kind()).isEqualTo(BeginJobResult.Kind.NEW);
      assertThat(state.beginJob(job).kind()).isEqualTo(BeginJobResult.Kind.IN_FLIGHT);
      assertThat(state.beginJob(Samples.job("a", 2, true)).code()).isEqualTo(ResultCode.ID_REUSED);
      state.apply(new JobAccepted(job, NOW));
      assertThat(state.beginJob(job).code()).isEqualTo(ResultCode.ALREADY_ACCEPTED);
      assertThat(state.beginJob(Samples.job("a", 2, true)).code()).isEqualTo(ResultCode.ID_REUSED);
    }

    @ParameterizedTest
    @CsvSource({
      "SUCCEEDED, SUCCEEDED, SUCCEEDED",
      "SUCCEEDED, FAILED, FAILED",
      "UNKNOWN, FAILED, FAILED",
      "UNKNOWN, SUCCEEDED, UNKNOWN",
      "CANCELLED, SUCCEEDED, CANCELLED",
      "WAITING, SUCCEEDED, RUNNING",
      "WAITING, WAITING, WAITING"
    })
    void should_derive_the_phase_from_the_tasks(TaskPhase first, TaskPhase second, JobPhase phase) {
      // GIVEN
      state.apply(new JobAccepted(Samples.job("a", 2, true), NOW));
      // WHEN
      state.apply(ended("a", 0, 5, first));
      state.apply(ended("a", 1, 5, second));
      // THEN
      assertThat(state.job(Samples.jobKey("a")).map(JobView::phase)).contains(phase);
      assertThat(state.activeJobs().isEmpty()).isEqualTo(phase.isTerminal());
      assertThat(state.requeueCount(task("a", 0))).isEqualTo(first == TaskPhase.WAITING ? 1 : 0);
    }

    @Test
    void should_park_resume_and_cancel() {
      // GIVEN
      state.apply(new JobAccepted(Samples.job("a", 2, true), NOW));
      JobKey key = Samples.jobKey("a");
      // WHEN // THEN
      state.apply(new JobParked(key, "fails everywhere", NOW));
      assertThat(state.job(key).orElseThrow().phase()).isEqualTo(JobPhase.PARKED);
      assertThat(state.job(key).orElseThrow().reason()).isEqualTo("fails everywhere");
      state.apply(new JobResumed(key, NOW));
      assertThat(state.job(key).orElseThrow().phase()).isEqualTo(JobPhase.WAITING);
      state.recordActiveAttempt(task("a", 0), 7, TaskPhase.RUNNING, WORKER);
      state.apply(new JobCancelled(key, "by caller", NOW));
      assertThat(state.job(key).orElseThrow().phase()).isEqualTo(JobPhase.RUNNING);
      assertThat(state.activeJobs()).hasSize(1);
      state.apply(ended("a", 0, 7, TaskPhase.SUCCEEDED));
      assertThat(state.task(task("a", 0)).orElseThrow().phase()).isEqualTo(TaskPhase.SUCCEEDED);
      assertThat(state.job(key).orElseThrow().phase()).isEqualTo(JobPhase.CANCELLED);
    }

    @Test
    void should_report_a_task_marked_as_started_as_unresolved() throws Exception {
      // GIVEN
      state.apply(new JobAccepted(Samples.job("a", 2, false), NOW));
      state.apply(new TaskStartMarked(task("a", 1), 4097, NOW));
      // WHEN
      WorkShardState recovered = copy(state);
      // THEN
      assertThat(recovered.unresolvedTasks()).containsExactly(task("a", 1));
      assertThat(recovered.task(task("a", 1)).orElseThrow().phase()).isEqualTo(TaskPhase.PLACING);
      // WHEN
      recovered.recordActiveAttempt(task("a", 1), 4097, TaskPhase.RUNNING, WORKER);
      // THEN
      assertThat(recovered.unresolvedTasks()).isEmpty();
      assertThat(recovered.task(task("a", 1)).orElseThrow().worker()).isEqualTo(WORKER);
    }

    @Test
    void should_ignore_the_end_of_an_older_attempt() {
      // GIVEN
      state.apply(new JobAccepted(Samples.job("a", 1, false), NOW));
      state.apply(new TaskStartMarked(task("a", 0), 9, NOW));
      // WHEN
      state.apply(ended("a", 0, 8, TaskPhase.FAILED));
      // THEN
      assertThat(state.task(task("a", 0)).orElseThrow().phase()).isEqualTo(TaskPhase.PLACING);
    }
  }

  @Nested
  @Group
  class Replay {
    @Provide
    Arbitrary<List<JournalRecord>> records() {
      Arbitrary<String> jobs = Arbitraries.of("a", "b", "c");
      Arbitrary<Integer> index = Arbitraries.integers().between(0, 3);
      Arbitrary<Integer> attempts = Arbitraries.integers().between(1, 5);
      Arbitrary<TaskPhase> phases =
          Arbitraries.of(
              TaskPhase.WAITING, TaskPhase.SUCCEEDED, TaskPhase.FAILED, TaskPhase.UNKNOWN);
      Arbitrary<RequestSpec> requests =
          Arbitraries.of("r1", "r2").map(id -> Samples.request(id, id, NOW.plusSeconds(9)));
      Arbitrary<ResultCode> codes =
          Arbitraries.of(ResultCode.OK, ResultCode.OVERLOADED, ResultCode.OUTCOME_UNKNOWN);
      return Arbitraries.<JournalRecord>oneOf(
              jobs.map(job -> new JobAccepted(Samples.job(job, 3, false), NOW)),
              Combinators.combine(jobs, index, attempts)
                  .as((job, i, n) -> new TaskStartMarked(task(job, i), n, NOW)),
              Combinators.combine(jobs, index, attempts, phases)
                  .as((job, i, n, phase) -> ended(job, i, n, phase)),
              jobs.map(job -> new JobCancelled(Samples.jobKey(job), "by caller", NOW)),
              jobs.map(job -> new JobParked(Samples.jobKey(job), "fits nowhere", NOW)),
              jobs.map(job -> new JobResumed(Samples.jobKey(job), NOW)),
              requests.map(WorkShardStateTest::requestStarted),
              Combinators.combine(requests, codes)
                  .as((r, code) -> new RequestEnded(r.key(), code, BODY, "", NOW)),
              index.map(
                  h ->
                      new JournalRecord.RecordsExpired(
                          NOW.plusSeconds(h - 2), NOW.plusSeconds(h - 2), NOW, NOW)))
          .list()
          .ofMaxSize(60);
    }

    @Property(seed = "23", tries = 500)
    void should_rebuild_the_live_state_from_any_snapshot(
        @ForAll("records") List<JournalRecord> records,
        @ForAll @IntRange(max = 60) int snapshotAfter)
        throws Exception {
      // GIVEN
      WorkShardState live = new WorkShardState(SHARD, Retention.DEFAULT);
      WorkShardState replayed = new WorkShardState(SHARD, Retention.DEFAULT);
      // WHEN
      for (int i = 0; i < records.size(); i++) {
        live.apply(records.get(i));
        live.recordActiveAttempt(task("a", i % 3), i, TaskPhase.RUNNING, WORKER);
        replayed.apply(roundTrip(records.get(i)));
        if (i == snapshotAfter) {
          replayed = copy(replayed);
        }
      }
      // THEN
      assertThat(replayed.snapshot()).isEqualTo(live.snapshot());
    }

    @Property(seed = "29", tries = 500)
    void should_match_a_reference_map_of_requests(@ForAll("records") List<JournalRecord> records) {
      // GIVEN
      WorkShardState shard = new WorkShardState(SHARD, Retention.DEFAULT);
      Map<RequestKey, ResultCode> marked = new HashMap<>();
      Map<RequestKey, ResultCode> ended = new HashMap<>();
      // WHEN
      for (JournalRecord record : records) {
        shard.apply(record);
        if (record instanceof RequestStarted r && !ended.containsKey(r.request())) {
          marked.put(r.request(), ResultCode.OUTCOME_UNKNOWN);
        } else if (record instanceof RequestEnded r && marked.remove(r.request()) != null) {
          ended.put(r.request(), r.code());
          ended.values().remove(ResultCode.OVERLOADED);
        } else if (record instanceof JournalRecord.RecordsExpired r
            && r.requestsBefore().isAfter(NOW)) {
          marked.clear();
          ended.clear();
        }
      }
      marked.putAll(ended);
      // THEN
      for (String id : List.of("r1", "r2")) {
        RequestKey key = Samples.requestKey(id);
        Optional<ResultCode> code = shard.answer(key).map(Answer::code);
        assertThat(code).isEqualTo(Optional.ofNullable(marked.get(key)));
      }
    }

    private JournalRecord roundTrip(JournalRecord record) throws Exception {
      byte[] bytes = Mappers.messagePack().writeValueAsBytes(record);
      JournalRecord read = Mappers.messagePack().readValue(bytes, JournalRecord.class);
      assertThat(read).isEqualTo(record);
      return read;
    }
  }

  @Nested
  class Restore {
    @Test
    void should_refuse_a_snapshot_of_another_shard() {
      // GIVEN // WHEN // THEN
      assertThatThrownBy(
              () ->
                  WorkShardState.restore("s", ShardId.work(3), state.snapshot(), Retention.DEFAULT))
          .isInstanceOf(RecordFormatException.class);
    }
  }
}
