package org.masticspread.node.rack;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceOutcome;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.peer.PlaceTasks;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.Urgency;
import org.masticspread.node.member.Members;

class RackOwnerTest {
  private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
  private static final RackId RACK = RackId.of("rack-1");
  private static final WorkerId WORKER = WorkerId.of("worker-1");
  private static final ResourceVector SIZE = new ResourceVector(1_000, 1_000, 0);

  private final List<String> calls = new ArrayList<>();
  private final Deque<Boolean> sessionChecks = new ArrayDeque<>();
  private RackOwner owner;

  private final class RecordingWorkerPort implements WorkerPort {
    private WorkerReport recordCall(String call) {
      calls.add(call);
      return new WorkerReport(WORKER, 1, List.of());
    }

    @Override
    public WorkerReport seal(WorkerId worker, long rackEpoch) {
      return recordCall("seal");
    }

    @Override
    public void start(WorkerId worker, long rackEpoch, StartTask start) {
      recordCall("start");
    }

    @Override
    public WorkerReport renew(
        WorkerId worker, long rackEpoch, Instant leaseUntil, List<TaskAttempt> acknowledged) {
      return recordCall("renew");
    }

    @Override
    public void order(WorkerId worker, long rackEpoch, TaskAttempt task, TaskOrder order) {
      recordCall("order");
    }
  }

  @BeforeEach
  void acquire() {
    Members members = new Members(VmId.of("vm-1"), () -> 0, Duration.ofSeconds(2));
    RackTimes times =
        new RackTimes(Duration.ofSeconds(10), Duration.ofSeconds(1), Duration.ofSeconds(2));
    owner =
        new RackOwner(
            times,
            () -> NOW,
            new RecordingWorkerPort(),
            () -> sessionChecks.isEmpty() || sessionChecks.removeFirst(),
            members,
            report -> CompletableFuture.completedFuture(List.of()),
            Runnable::run);
    WorkerConfig worker =
        new WorkerConfig(
            WORKER,
            PoolId.of("pool"),
            RACK,
            DataCentreId.of("dc"),
            "a:1",
            SIZE.times(4),
            EndpointState.ACTIVE);
    owner.configure(
        new Configuration(1, List.of(), List.of(), List.of(), List.of(), List.of(worker)));
    owner.acquired(ShardId.rack(RACK), 1);
    calls.clear();
  }

  private PlaceOutcome place() {
    JobKey job = new JobKey(TeamId.of("team"), JobId.of("job"));
    PlaceTask task =
        new PlaceTask(
            new TaskKey(job, 0),
            1,
            ShardId.work(1),
            ClassKey.of("team", "class"),
            Urgency.NORMAL,
            JobKind.BATCH,
            SIZE,
            NOW.plusSeconds(2),
            Payload.EMPTY);
    return owner.place(new PlaceTasks(RACK, 1, List.of(task))).tasks().get(0).outcome();
  }

  @Nested
  class Renew {
    @Test
    void should_renew_while_the_session_is_held() {
      owner.renew();
      assertThat(calls).containsExactly("renew");
    }

    @Test
    void should_renew_nothing_when_the_session_is_lost_during_a_pause() {
      // GIVEN
      sessionChecks.addAll(List.of(true, false));
      // WHEN
      owner.renew();
      // THEN
      assertThat(calls).isEmpty();
    }
  }

  @Nested
  class Place {
    @Test
    void should_start_while_the_session_is_held() {
      assertThat(place()).isEqualTo(PlaceOutcome.STARTED);
      assertThat(calls).containsExactly("start");
    }

    @Test
    void should_start_nothing_when_the_session_is_lost_during_a_pause() {
      // GIVEN
      sessionChecks.addAll(List.of(true, false));
      // THEN
      assertThat(place()).isEqualTo(PlaceOutcome.NO_ROOM);
      assertThat(calls).isEmpty();
      assertThat(owner.runningTasks()).isZero();
    }
  }
}
