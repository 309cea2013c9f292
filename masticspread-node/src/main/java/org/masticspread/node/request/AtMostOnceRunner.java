package org.masticspread.node.request;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.peer.RunAtShard;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.node.job.JobShards;
import org.masticspread.node.job.ShardJournal;
import org.masticspread.node.member.Authority;
import org.masticspread.state.shard.BeginRequestResult;
import org.masticspread.state.shard.Fingerprint;
import org.masticspread.state.shard.JournalRecord;

/**
 * Runs requests that must run at most once at the owner of their work shard: makes a start mark
 * durable before the dispatch and answers repeated requests from the record.
 *
 * <p>Example: {@code atMostOnce.run(message)}.
 */
public final class AtMostOnceRunner {
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(200);
  private static final Duration RECORD_APPEND_TIMEOUT = Duration.ofMinutes(5);

  private final Function<ShardId, Optional<JobShards.Owned>> shards;
  private final ShardJournal journal;
  private final HomeCalls homes;
  private final Authority authority;
  private final InstantSource clock;
  private final Scheduler scheduler;
  private final DecisionLog decisions;
  private final Map<RequestKey, CompletableFuture<Answer>> inFlight = new ConcurrentHashMap<>();
  private final Map<ShardId, AtomicInteger> inFlightByShard = new ConcurrentHashMap<>();

  /**
   * Creates the runner.
   *
   * @param shards the lookup of owned shards
   * @param journal the journal that makes start marks and answers durable
   * @param homes the calls to home VMs
   * @param authority whether this VM may act as owner
   * @param clock the clock
   * @param scheduler the scheduler of the timeouts of start marks
   * @param decisions the log of decisions
   */
  public AtMostOnceRunner(
      Function<ShardId, Optional<JobShards.Owned>> shards,
      ShardJournal journal,
      HomeCalls homes,
      Authority authority,
      InstantSource clock,
      Scheduler scheduler,
      DecisionLog decisions) {
    this.shards = shards;
    this.journal = journal;
    this.homes = homes;
    this.authority = authority;
    this.clock = clock;
    this.scheduler = scheduler;
    this.decisions = decisions;
  }

  /**
   * Runs a request, or answers it from its record.
   *
   * @param message the request and its shard
   * @return the outcome; the stage never fails
   */
  public CompletionStage<Answer> run(RunAtShard message) {
    RequestSpec request = message.request();
    Optional<JobShards.Owned> shard = shards.apply(message.shard());
    if (shard.isEmpty()) {
      return answered(request, ResultCode.NOT_OWNER, "the shard is not owned here");
    }
    BeginRequestResult begin = shard.get().state().beginRequest(request, clock.instant());
    return switch (begin.kind()) {
      case DECIDED -> CompletableFuture.completedFuture(begin.answer());
      case IN_FLIGHT -> joinFirst(request);
      case NEW -> new Run(shard.get(), request).start();
    };
  }

  /**
   * Returns the number of requests in flight.
   *
   * @return the number of requests
   */
  public int inFlight() {
    return inFlight.size();
  }

  /**
   * Returns the number of requests of a shard that are in flight or whose answer is not durable
   * yet.
   *
   * @param shard the shard
   * @return the number of requests
   */
  public int inFlight(ShardId shard) {
    return counter(shard).get();
  }

  private AtomicInteger counter(ShardId shard) {
    return inFlightByShard.computeIfAbsent(shard, s -> new AtomicInteger());
  }

  /** Returns the answer of the first request with the same key for a repeated one. */
  private CompletionStage<Answer> joinFirst(RequestSpec request) {
    CompletableFuture<Answer> first = inFlight.get(request.key());
    return first == null
        ? answered(request, ResultCode.OUTCOME_UNKNOWN, "the first request with this id is ending")
        : first;
  }

  private static CompletionStage<Answer> answered(
      RequestSpec request, ResultCode code, String detail) {
    return CompletableFuture.completedFuture(Answer.of(request.key(), code, detail));
  }

  private final class Run {
    private final JobShards.Owned shard;
    private final RequestSpec request;
    private final CompletableFuture<Answer> result = new CompletableFuture<>();
    private boolean decided;
    private Disposable timeout;

    Run(JobShards.Owned shard, RequestSpec request) {
      this.shard = shard;
      this.request = request;
    }

    CompletionStage<Answer> start() {
      inFlight.put(request.key(), result);
      counter(shard.shard()).incrementAndGet();
      Instant now = clock.instant();
      Duration remaining = markTimeout(Duration.between(now, request.answerBy()));
      Instant markDeadline = now.plus(remaining);
      timeout =
          scheduler.scheduleDirect(this::timeOut, remaining.toMillis(), TimeUnit.MILLISECONDS);
      JournalRecord mark =
          new JournalRecord.RequestStarted(request.key(), Fingerprint.of(request), now);
      journal
          .append(shard.shard(), shard.epoch(), mark, markDeadline)
          .whenComplete(this::handleMarkWritten);
      return result;
    }

    /**
     * Returns the time to wait for the start mark: leaves a margin for the answer to reach the VM
     * of the caller.
     */
    private static Duration markTimeout(Duration answerWithin) {
      Duration quarter = answerWithin.dividedBy(4);
      return answerWithin.minus(quarter.compareTo(ANSWER_MARGIN) < 0 ? quarter : ANSWER_MARGIN);
    }

    /** Decides once between dispatch and timeout; returns true to the first caller only. */
    private synchronized boolean tryDecide() {
      boolean first = !decided;
      decided = true;
      return first;
    }

    private void timeOut() {
      if (tryDecide()) {
        finish(
            Answer.of(
                request.key(),
                ResultCode.STORE_UNAVAILABLE,
                "the store did not make its start mark durable in time; it was not sent"));
      }
    }

    private void handleMarkWritten(Void done, Throwable thrown) {
      if (thrown != null) {
        handleMarkFailed(thrown);
        return;
      }
      if (!tryDecide()) {
        record(
            Answer.of(
                request.key(),
                ResultCode.STORE_UNAVAILABLE,
                "timed out before its start mark was durable"));
        return;
      }
      if (!authority.mayAct()) {
        Answer refused = Answer.of(request.key(), ResultCode.NOT_OWNER, "this VM lost its session");
        record(refused);
        finish(refused);
        return;
      }
      decisions.add(DecisionLog.subject(request.key()), "marked", "its start is durable");
      homes.run(request).thenAccept(this::handleAnswer);
    }

    private void handleMarkFailed(Throwable thrown) {
      if (ShardJournal.isCertainlyNotWritten(thrown)) {
        shard.state().abandonRequest(request.key());
      }
      removeFromInFlight();
      if (tryDecide()) {
        ResultCode code =
            ShardJournal.isCertainlyNotWritten(thrown)
                ? ShardJournal.codeOf(thrown)
                : ResultCode.STORE_UNAVAILABLE;
        finish(Answer.of(request.key(), code, "its start mark was not written; it was not sent"));
      }
    }

    private void handleAnswer(Answer answer) {
      record(answer);
      finish(answer);
    }

    private void record(Answer answer) {
      Instant now = clock.instant();
      JournalRecord end =
          new JournalRecord.RequestEnded(
              request.key(), answer.code(), answer.body(), answer.detail(), now);
      journal
          .append(shard.shard(), shard.epoch(), end, now.plus(RECORD_APPEND_TIMEOUT))
          .whenComplete((done, thrown) -> removeFromInFlight());
    }

    private void finish(Answer answer) {
      timeout.dispose();
      result.complete(answer);
    }

    private void removeFromInFlight() {
      inFlight.remove(request.key(), result);
      counter(shard.shard()).decrementAndGet();
    }
  }
}
