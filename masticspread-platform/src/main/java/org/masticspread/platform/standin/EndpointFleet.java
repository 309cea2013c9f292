package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.platform.EndpointPort;
import org.masticspread.model.platform.EndpointReply;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;

/**
 * A set of in-memory executors whose answers complete on a given timer.
 *
 * <p>Example: {@code EndpointFleet.clockedBy(clock, timer).add(endpoint, new ExecutorSpec(8, 64,
 * 1))}. In the fault script, calls are named {@code endpoint.call/ENDPOINT}. Answers complete on
 * the thread of the timer. Thread-safe, but must be configured before the first call.
 */
public final class EndpointFleet implements EndpointPort {
  private static final int MAX_RECORDED_RUNS = 200_000;

  private final InstantSource clock;
  private final DelayedExecutor timer;
  private final Map<EndpointId, MemoryExecutor> executors = new ConcurrentHashMap<>();
  private final Deque<EndpointRun> runs = new ArrayDeque<>();
  private volatile Faults faults = Faults.none();
  private volatile RequestScript script = RequestScript.ECHO;

  private EndpointFleet(InstantSource clock, DelayedExecutor timer) {
    this.clock = clock;
    this.timer = timer;
  }

  /**
   * Returns an empty fleet.
   *
   * @param clock the clock
   * @param timer completes answers and timeouts
   * @return the fleet
   */
  public static EndpointFleet clockedBy(InstantSource clock, DelayedExecutor timer) {
    return new EndpointFleet(clock, timer);
  }

  /**
   * Sets the script of faults to inject.
   *
   * @param newFaults the script
   * @return this fleet
   */
  public EndpointFleet withFaults(Faults newFaults) {
    faults = newFaults;
    return this;
  }

  /**
   * Sets the behaviour of requests.
   *
   * @param newScript the behaviour
   * @return this fleet
   */
  public EndpointFleet withScript(RequestScript newScript) {
    script = newScript;
    return this;
  }

  /**
   * Adds an executor, or changes an existing one.
   *
   * @param endpoint the endpoint of the executor
   * @param spec the slots, connections and speed
   * @return this fleet
   */
  public EndpointFleet add(EndpointId endpoint, ExecutorSpec spec) {
    executors.computeIfAbsent(endpoint, id -> new MemoryExecutor()).setSpec(spec);
    return this;
  }

  /**
   * Removes an executor; its running requests still complete.
   *
   * @param endpoint the endpoint of the executor
   */
  public void remove(EndpointId endpoint) {
    executors.remove(endpoint);
  }

  /**
   * Returns the latest 200000 runs that actually started, for checks.
   *
   * @return the runs in order of their starts
   */
  public List<EndpointRun> runs() {
    synchronized (runs) {
      return List.copyOf(runs);
    }
  }

  /**
   * Returns the number of requests that an executor is running.
   *
   * @param endpoint the endpoint of the executor
   * @return the number of used slots
   */
  public int running(EndpointId endpoint) {
    return executors.get(endpoint).running();
  }

  @Override
  public CompletionStage<EndpointReply> call(
      EndpointConfig endpoint, RequestSpec request, Duration timeout) {
    Optional<Fault> fault = faults.next("endpoint.call/" + endpoint.name());
    MemoryExecutor executor = executors.get(endpoint.name());
    boolean down = fault.filter(f -> f.kind() == FaultKind.DOWN).isPresent();
    if (executor == null || down || !executor.connect()) {
      return completed(EndpointOutcome.CONNECT_FAILED, "no connection");
    }
    CompletableFuture<EndpointReply> reply = new CompletableFuture<>();
    var ignored = reply.whenComplete((value, error) -> executor.disconnect());
    run(new Exchange(endpoint.name(), executor, request, reply), fault);
    scheduleTimeout(reply, timeout);
    return reply;
  }

  private void run(Exchange exchange, Optional<Fault> fault) {
    Duration wait = fault.map(Fault::time).orElse(Duration.ZERO);
    switch (fault.map(Fault::kind).orElse(FaultKind.STALE)) {
      case SILENT -> {
        return;
      }
      case ERROR_BEFORE_EFFECT -> exchange.end(EndpointOutcome.NO_ANSWER, "connection reset");
      case ANSWER_LOST -> serve(exchange, AnswerMode.LOST);
      case CUT, FOREIGN -> serve(exchange, AnswerMode.BROKEN);
      case SLOW -> timer.after(wait, () -> serve(exchange, AnswerMode.WHOLE));
      case DUPLICATE -> {
        serve(exchange, AnswerMode.WHOLE);
        serve(exchange, AnswerMode.LOST);
      }
      case REORDERED -> timer.after(Duration.ofMillis(1), () -> serve(exchange, AnswerMode.WHOLE));
      default -> serve(exchange, AnswerMode.WHOLE);
    }
  }

  private void serve(Exchange exchange, AnswerMode answerMode) {
    MemoryExecutor executor = exchange.executor();
    if (!executor.acquireSlot()) {
      refuse(exchange, answerMode);
      return;
    }
    recordRun(new EndpointRun(exchange.endpoint(), exchange.request().key(), clock.instant()));
    RequestScript.Service service = script.serve(exchange.endpoint(), exchange.request());
    Runnable finish = () -> finish(exchange, service, answerMode);
    if (service.time().isZero()) {
      finish.run();
      return;
    }
    timer.after(executor.scaledTime(service.time()), finish);
  }

  private static void refuse(Exchange exchange, AnswerMode answerMode) {
    if (answerMode != AnswerMode.LOST) {
      exchange.end(EndpointOutcome.BUSY, "all slots are in use");
    }
  }

  private static void finish(
      Exchange exchange, RequestScript.Service service, AnswerMode answerMode) {
    exchange.executor().releaseSlot();
    if (answerMode == AnswerMode.WHOLE) {
      exchange.end(service.outcome(), service.body());
    }
    if (answerMode == AnswerMode.BROKEN) {
      exchange.end(EndpointOutcome.NO_ANSWER, "incomplete answer");
    }
  }

  private void scheduleTimeout(CompletableFuture<EndpointReply> reply, Duration timeout) {
    if (reply.isDone()) {
      return;
    }
    EndpointReply timeoutReply = EndpointReply.of(EndpointOutcome.NO_ANSWER, "no answer in time");
    Runnable cancel = timer.cancellable(timeout, () -> reply.complete(timeoutReply));
    var ignored = reply.whenComplete((value, error) -> cancel.run());
  }

  private void recordRun(EndpointRun run) {
    synchronized (runs) {
      runs.addLast(run);
      if (runs.size() > MAX_RECORDED_RUNS) {
        runs.removeFirst();
      }
    }
  }

  private static CompletionStage<EndpointReply> completed(EndpointOutcome outcome, String detail) {
    return CompletableFuture.completedStage(EndpointReply.of(outcome, detail));
  }

  private enum AnswerMode {
    WHOLE,
    BROKEN,
    LOST
  }

  private record Exchange(
      EndpointId endpoint,
      MemoryExecutor executor,
      RequestSpec request,
      CompletableFuture<EndpointReply> reply) {
    void end(EndpointOutcome outcome, String detail) {
      reply.complete(EndpointReply.of(outcome, detail));
    }

    void end(EndpointOutcome outcome, Payload body) {
      reply.complete(new EndpointReply(outcome, body, ""));
    }
  }
}
