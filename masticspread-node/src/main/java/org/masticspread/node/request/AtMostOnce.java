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
 * Runs requests that must run at most once, at the owner of their work shard: a start mark is
 * durable before the dispatch, and repeats are answered from the record.
 *
 * <p>Example: {@code atMostOnce.run(message)}.
 */
public final class AtMostOnce {
  private static final Duration ANSWER_MARGIN = Duration.ofMillis(200);
  private static final Duration RECORD_HOLD = Duration.ofMinutes(5);

  private final Function<ShardId, Optional<JobShards.Owned>> shards;
  private final ShardJournal journal;
  private final HomeCalls homes;
  private final Authority authority;
  private final InstantSource clock;
  private final Scheduler scheduler;
  private final DecisionLog decisions;
  private final Map<RequestKey, CompletableFuture<Answer>> inFlight = new ConcurrentHashMap<>();
  private final Map<ShardId, AtomicInteger> byShard = new ConcurrentHashMap<>();

  /**
   * Creates the runner.
   *
   * @param shards finds owned shards
   * @param journal makes marks and answers durable
   * @param homes dispatches
   * @param authority tells whether this VM may act
   * @param clock the clock
   * @param scheduler ends waits for the store
   * @param decisions where decisions are remembered
   */
  public AtMostOnce(
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
      case IN_FLIGHT -> join(request);
      case NEW -> new Run(shard.get(), request).start();
    };
  }

  /**
   * Counts the requests in flight.
   *
   * @return the number of requests
   */
  public int inFlight() {
    return inFlight.size();
  }

  /**
   * Counts the requests of a shard that are in flight, or whose answer is not on record yet.
   *
   * @param shard the shard
   * @return the number of requests
   */
  public int inFlight(ShardId shard) {
    return counter(shard).get();
  }

  private AtomicInteger counter(ShardId shard) {
    return byShard.computeIfAbsent(shard, s -> new AtomicInteger());
  }

  /** A repeat gets the answer of the first one. */
  private CompletionStage<Answer> join(RequestSpec request) {
    CompletableFuture<Answer> first = inFlight.get(request.key());
    return first == null
        ? answered(request, ResultCode.OUTCOME_UNKNOWN, "the first one is just ending")
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
      Duration left = waitFor(Duration.between(now, request.answerBy()));
      Instant markBy = now.plus(left);
      timeout = scheduler.scheduleDirect(this::giveUp, left.toMillis(), TimeUnit.MILLISECONDS);
      JournalRecord mark =
          new JournalRecord.RequestStarted(request.key(), Fingerprint.of(request), now);
      journal.append(shard.shard(), shard.epoch(), mark, markBy).whenComplete(this::marked);
      return result;
    }

    /** Leaves time for the answer to get back to the caller's VM. */
    private static Duration waitFor(Duration answerWithin) {
      Duration quarter = answerWithin.dividedBy(4);
      return answerWithin.minus(quarter.compareTo(ANSWER_MARGIN) < 0 ? quarter : ANSWER_MARGIN);
    }

    /** Takes the one decision between dispatching and giving up. */
    private synchronized boolean decide() {
      boolean first = !decided;
      decided = true;
      return first;
    }

    private void giveUp() {
      if (decide()) {
        finish(
            Answer.of(
                request.key(),
                ResultCode.STORE_UNAVAILABLE,
                "the store did not take its start mark in time; it was not sent"));
      }
    }

    private void marked(Void done, Throwable thrown) {
      if (thrown != null) {
        notMarked(thrown);
        return;
      }
      if (!decide()) {
        record(Answer.of(request.key(), ResultCode.STORE_UNAVAILABLE, "given up before the mark"));
        return;
      }
      if (!authority.mayAct()) {
        Answer refused = Answer.of(request.key(), ResultCode.NOT_OWNER, "this VM lost its session");
        record(refused);
        finish(refused);
        return;
      }
      decisions.add(DecisionLog.subject(request.key()), "marked", "its start is durable");
      homes.run(request).thenAccept(this::ran);
    }

    private void notMarked(Throwable thrown) {
      if (ShardJournal.isCertainlyNotWritten(thrown)) {
        shard.state().abandonRequest(request.key());
      }
      leave();
      if (decide()) {
        ResultCode code =
            ShardJournal.isCertainlyNotWritten(thrown)
                ? ShardJournal.codeOf(thrown)
                : ResultCode.STORE_UNAVAILABLE;
        finish(Answer.of(request.key(), code, "its start mark was not taken; it was not sent"));
      }
    }

    private void ran(Answer answer) {
      record(answer);
      finish(answer);
    }

    private void record(Answer answer) {
      Instant now = clock.instant();
      JournalRecord end =
          new JournalRecord.RequestEnded(
              request.key(), answer.code(), answer.body(), answer.detail(), now);
      journal
          .append(shard.shard(), shard.epoch(), end, now.plus(RECORD_HOLD))
          .whenComplete((done, thrown) -> leave());
    }

    private void finish(Answer answer) {
      timeout.dispose();
      result.complete(answer);
    }

    private void leave() {
      inFlight.remove(request.key(), result);
      counter(shard.shard()).decrementAndGet();
    }
  }
}
