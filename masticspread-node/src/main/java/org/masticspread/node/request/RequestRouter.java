package org.masticspread.node.request;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Timer;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.atomic.AtomicInteger;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.RequestAnswered;
import org.masticspread.model.peer.RunAtShard;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.node.api.RequestService;
import org.masticspread.node.member.PeerCalls;
import org.masticspread.node.member.ShardCalls;
import org.masticspread.state.ownership.ShardMap;

/**
 * Routes requests of callers: idempotent ones to a home VM, others to the owner of their work shard
 * first.
 */
public final class RequestRouter implements RequestService {
  private final HomeCalls homes;
  private final ShardCalls shards;
  private final ShardMap map;
  private final MetricRegistry metrics;
  private final Timer answered;
  private final AtomicInteger inFlight = new AtomicInteger();
  private volatile boolean refusesNewRequests;

  /**
   * Creates the router.
   *
   * @param homes the calls to home VMs
   * @param shards the calls to owners of work shards
   * @param map the mapping of requests to work shards
   * @param metrics the registry of metrics
   */
  public RequestRouter(HomeCalls homes, ShardCalls shards, ShardMap map, MetricRegistry metrics) {
    this.homes = homes;
    this.shards = shards;
    this.map = map;
    this.metrics = metrics;
    this.answered = metrics.timer("requests.answered");
  }

  @Override
  public CompletionStage<Answer> run(RequestSpec request) {
    if (refusesNewRequests) {
      return CompletableFuture.completedFuture(
          Answer.of(request.key(), ResultCode.STOPPING, "this VM is stopping; ask another one"));
    }
    inFlight.incrementAndGet();
    Timer.Context time = answered.time();
    CompletionStage<Answer> answer =
        request.idempotent() ? homes.run(request) : runAtShard(request);
    return answer.whenComplete(
        (done, thrown) -> {
          inFlight.decrementAndGet();
          time.stop();
          if (done != null) {
            metrics.counter("requests.code." + done.code().number()).inc();
          }
        });
  }

  private CompletionStage<Answer> runAtShard(RequestSpec request) {
    ShardId shard = map.workShard(request.key());
    Instant deadline = request.answerBy();
    return shards
        .call(
            shard,
            new RunAtShard(shard, request),
            RequestAnswered.class,
            a -> a.answer().code() == ResultCode.NOT_OWNER,
            deadline)
        .handle(
            (routed, thrown) ->
                thrown == null
                    ? answerOf(request, routed)
                    : failed(request, PeerCalls.errorOf(thrown)));
  }

  /**
   * Returns OUTCOME_UNKNOWN instead of "not run" after an unanswered attempt, since that attempt
   * may still run.
   */
  private static Answer answerOf(RequestSpec request, ShardCalls.Routed<RequestAnswered> routed) {
    Answer answer = routed.answer().answer();
    if (routed.unanswered() && answer.code().runState() == RunState.NOT_RUN) {
      return Answer.of(
          request.key(),
          ResultCode.OUTCOME_UNKNOWN,
          "an earlier try was not answered; then: " + answer.detail());
    }
    return answer;
  }

  private static Answer failed(RequestSpec request, PeerException e) {
    ResultCode code =
        e.mayHaveBeenSent() ? ResultCode.OUTCOME_UNKNOWN : ResultCode.STORE_UNAVAILABLE;
    return Answer.of(request.key(), code, e.getMessage());
  }

  /** Refuses new requests from now on; the answer states that they were not run. */
  public void refuseNewRequests() {
    refusesNewRequests = true;
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return the number of requests
   */
  public int inFlight() {
    return inFlight.get();
  }
}
