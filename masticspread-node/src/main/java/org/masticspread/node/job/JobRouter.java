package org.masticspread.node.job;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.CancelJob;
import org.masticspread.model.peer.JobAnswered;
import org.masticspread.model.peer.JobsListed;
import org.masticspread.model.peer.ListJobs;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.ReadJob;
import org.masticspread.model.peer.SubmitJob;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.node.api.JobService;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;
import org.masticspread.node.member.ShardCalls;
import org.masticspread.state.ownership.ShardMap;

/** Routes job calls to the owner of the work shard of each job. */
public final class JobRouter implements JobService {
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(200);
  private static final Duration READ_TIMEOUT = Duration.ofSeconds(5);

  private final VmId self;
  private final ShardCalls shards;
  private final PeerCalls calls;
  private final Members members;
  private final ShardMap map;
  private final InstantSource clock;
  private volatile boolean refusesNewJobs;

  /**
   * Creates the router.
   *
   * @param self this VM
   * @param shards the calls to owners of work shards
   * @param calls the calls to VMs
   * @param members the members of the cluster
   * @param map the mapping of jobs to work shards
   * @param clock the clock
   */
  public JobRouter(
      VmId self,
      ShardCalls shards,
      PeerCalls calls,
      Members members,
      ShardMap map,
      InstantSource clock) {
    this.self = self;
    this.shards = shards;
    this.calls = calls;
    this.members = members;
    this.map = map;
    this.clock = clock;
  }

  /** Refuses new jobs from now on; the answer states that they were not accepted. */
  public void refuseNewJobs() {
    refusesNewJobs = true;
  }

  @Override
  public CompletionStage<JobAnswered> submit(JobSpec job, Instant acceptBy) {
    if (refusesNewJobs) {
      return CompletableFuture.completedFuture(
          new JobAnswered(ResultCode.STOPPING, null, "this VM is stopping; ask another one"));
    }
    ShardId shard = map.workShard(job.key());
    return call(shard, new SubmitJob(shard, job, acceptBy.minus(ANSWER_MARGIN)), acceptBy);
  }

  @Override
  public CompletionStage<JobAnswered> read(JobKey job) {
    ShardId shard = map.workShard(job);
    return call(shard, new ReadJob(shard, job), clock.instant().plus(READ_TIMEOUT));
  }

  @Override
  public CompletionStage<JobAnswered> cancel(JobKey job, Instant acceptBy) {
    ShardId shard = map.workShard(job);
    return call(shard, new CancelJob(shard, job, acceptBy.minus(ANSWER_MARGIN)), acceptBy);
  }

  private CompletionStage<JobAnswered> call(ShardId shard, PeerMessage message, Instant deadline) {
    return shards
        .call(shard, message, JobAnswered.class, a -> a.code() == ResultCode.NOT_OWNER, deadline)
        .handle(
            (routed, thrown) ->
                thrown == null ? answerOf(routed) : failed(PeerCalls.errorOf(thrown)));
  }

  /**
   * Returns OUTCOME_UNKNOWN for a refusal after an unanswered attempt, since that attempt may still
   * be accepted.
   */
  private static JobAnswered answerOf(ShardCalls.Routed<JobAnswered> routed) {
    JobAnswered answer = routed.answer();
    boolean refused = answer.code().runState() == RunState.NOT_RUN && answer.code().isRetryable();
    if (!routed.unanswered() || !refused) {
      return answer;
    }
    return new JobAnswered(
        ResultCode.OUTCOME_UNKNOWN,
        answer.job(),
        "an earlier try was not answered; then: " + answer.detail());
  }

  private static JobAnswered failed(PeerException e) {
    ResultCode code =
        e.mayHaveBeenSent() ? ResultCode.OUTCOME_UNKNOWN : ResultCode.STORE_UNAVAILABLE;
    return new JobAnswered(code, null, e.getMessage());
  }

  @Override
  public CompletionStage<List<JobView>> list(TeamId team, int limit) {
    List<VmId> vms = new ArrayList<>(members.others());
    vms.add(self);
    List<CompletableFuture<List<JobView>>> parts = new ArrayList<>();
    for (VmId vm : vms) {
      parts.add(
          calls
              .call(vm, new ListJobs(team, limit), JobsListed.class, READ_TIMEOUT)
              .thenApply(JobsListed::jobs)
              .exceptionally(thrown -> List.of())
              .toCompletableFuture());
    }
    return CompletableFuture.allOf(parts.toArray(CompletableFuture[]::new))
        .thenApply(all -> merge(parts, limit));
  }

  private static List<JobView> merge(List<CompletableFuture<List<JobView>>> parts, int limit) {
    return parts.stream()
        .flatMap(p -> p.join().stream())
        .sorted(Comparator.comparing(j -> j.spec().key().toString()))
        .limit(limit)
        .toList();
  }
}
