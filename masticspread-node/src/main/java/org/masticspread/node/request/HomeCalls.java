package org.masticspread.node.request;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.IntUnaryOperator;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Digest;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.RequestAnswered;
import org.masticspread.model.peer.RunAtHome;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;

/**
 * Sends a request to a home VM. Retries at another one after proof that the request did not run, or
 * if it is idempotent.
 *
 * <p>Example: {@code homes.run(request)}.
 */
public final class HomeCalls {
  private static final int MAX_ATTEMPTS = 3;
  private static final Duration ANSWER_GRACE = Duration.ofMillis(50);

  private final Members members;
  private final PeerCalls calls;
  private final InstantSource clock;
  private final DecisionLog decisions;
  private final RetryBudget retries;
  private final IntUnaryOperator random;

  /**
   * Creates the calls.
   *
   * @param members the members with the load of their endpoints
   * @param calls the calls to VMs
   * @param clock the clock
   * @param decisions the log of decisions
   * @param retries the budget for retries of requests whose outcome is unknown
   * @param random returns a random number from 0 (inclusive) to its argument (exclusive)
   */
  public HomeCalls(
      Members members,
      PeerCalls calls,
      InstantSource clock,
      DecisionLog decisions,
      RetryBudget retries,
      IntUnaryOperator random) {
    this.members = members;
    this.calls = calls;
    this.clock = clock;
    this.decisions = decisions;
    this.retries = retries;
    this.random = random;
  }

  /**
   * Runs a request at an endpoint.
   *
   * @param request the request
   * @return the outcome; the stage never fails
   */
  public CompletionStage<Answer> run(RequestSpec request) {
    retries.earn();
    Run run = new Run(request);
    run.tryNext();
    return run.result;
  }

  private final class Run {
    private final RequestSpec request;
    private final Set<VmId> tried = new HashSet<>();
    private final CompletableFuture<Answer> result = new CompletableFuture<>();
    private Answer last;
    private boolean mayHaveRun;

    Run(RequestSpec request) {
      this.request = request;
      this.last =
          Answer.of(request.key(), ResultCode.NO_ENDPOINT, "no VM has an endpoint for it now");
    }

    void tryNext() {
      Duration remaining = Duration.between(clock.instant(), request.answerBy());
      if (remaining.isNegative() || remaining.isZero()) {
        finish(last.code() == ResultCode.NO_ENDPOINT ? tooLate() : last);
        return;
      }
      Optional<VmId> home = pickHome(tried);
      if (home.isEmpty() || tried.size() >= MAX_ATTEMPTS) {
        finish(last);
        return;
      }
      VmId vm = home.get();
      tried.add(vm);
      decisions.add(DecisionLog.subject(request.key()), "sent to " + vm, "least loaded of two");
      calls
          .call(vm, new RunAtHome(request), RequestAnswered.class, remaining.plus(ANSWER_GRACE))
          .whenComplete((answered, thrown) -> handleAnswer(vm, answered, thrown));
    }

    private Answer tooLate() {
      return Answer.of(request.key(), ResultCode.DEADLINE_PASSED, "its answer-by time has passed");
    }

    private void handleAnswer(VmId vm, RequestAnswered answered, Throwable thrown) {
      Answer answer = thrown == null ? answered.answer() : answerOf(PeerCalls.errorOf(thrown), vm);
      if (!answer.key().equals(request.key())) {
        answer =
            Answer.of(
                request.key(), ResultCode.OUTCOME_UNKNOWN, "the answer belongs to another request");
      }
      last = answer;
      mayHaveRun |= answer.code().runState() == RunState.UNKNOWN;
      if (mayRetry(answer)) {
        tryNext();
        return;
      }
      finish(answer);
    }

    private boolean mayRetry(Answer answer) {
      if (answer.code().runState() == RunState.NOT_RUN) {
        return answer.code().isRetryable();
      }
      return answer.code().runState() == RunState.UNKNOWN
          && request.idempotent()
          && retries.spend();
    }

    private Answer answerOf(PeerException e, VmId vm) {
      ResultCode code =
          e.mayHaveBeenSent() ? ResultCode.OUTCOME_UNKNOWN : ResultCode.CONNECT_FAILED;
      return Answer.of(request.key(), code, "call to " + vm + ": " + e.getMessage());
    }

    private void finish(Answer answer) {
      Answer delivered = withEarlierAttempts(answer);
      decisions.add(
          DecisionLog.subject(request.key()), "answered " + delivered.code(), delivered.detail());
      result.complete(delivered);
    }

    private Answer withEarlierAttempts(Answer answer) {
      if (!mayHaveRun || answer.code().runState() != RunState.NOT_RUN) {
        return answer;
      }
      return Answer.of(
          request.key(),
          ResultCode.OUTCOME_UNKNOWN,
          "an earlier try may have run; then: " + answer.detail());
    }
  }

  private Optional<VmId> pickHome(Set<VmId> tried) {
    List<Digest> homes = new ArrayList<>();
    for (Digest digest : members.fresh()) {
      boolean usable = digest.home().slots() > 0 && !digest.stopping();
      if (usable && !tried.contains(digest.from().vm())) {
        homes.add(digest);
      }
    }
    if (homes.isEmpty()) {
      return Optional.empty();
    }
    Digest first = homes.get(random.applyAsInt(homes.size()));
    Digest second = homes.get(random.applyAsInt(homes.size()));
    Digest better = load(first.home()) <= load(second.home()) ? first : second;
    return Optional.of(better.from().vm());
  }

  private static double load(HomeDigest home) {
    return (double) (home.busy() + home.queued()) / home.slots();
  }
}
