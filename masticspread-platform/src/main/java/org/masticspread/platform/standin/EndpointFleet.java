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
 * Executors in memory, whose answers come by a passed timer.
 *
 * <p>Example: {@code EndpointFleet.clockedBy(clock, timer).add(endpoint, new ExecutorSpec(8, 64,
 * 1))}. Calls are named {@code endpoint.call}, then a slash and the endpoint. Answers complete on
 * the timer's thread. Thread-safe; set up before the first call.
 */
public final class EndpointFleet implements EndpointPort {
  private static final int MOST_RUNS = 200_000;

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
   * Sets the script of faults.
   *
   * @param newFaults the script
   * @return this fleet
   */
  public EndpointFleet withFaults(Faults newFaults) {
    faults = newFaults;
    return this;
  }

  /**
   * Sets what requests do.
   *
   * @param newScript what requests do
   * @return this fleet
   */
  public EndpointFleet withScript(RequestScript newScript) {
    script = newScript;
    return this;
  }

  /**
   * Adds an executor, or changes one.
   *
   * @param endpoint its endpoint
   * @param spec its slots, connections and speed
   * @return this fleet
   */
  public EndpointFleet add(EndpointId endpoint, ExecutorSpec spec) {
    executors.computeIfAbsent(endpoint, id -> new MemoryExecutor()).set(spec);
    return this;
  }

  /**
   * Takes an executor away; what runs there still ends.
   *
   * @param endpoint its endpoint
   */
  public void remove(EndpointId endpoint) {
    executors.remove(endpoint);
  }

  /**
   * Returns the latest 200000 runs as they really were, for checks.
   *
   * @return the runs in the order of their starts
   */
  public List<EndpointRun> runs() {
    synchronized (runs) {
      return List.copyOf(runs);
    }
  }

  /**
   * Returns how many requests an executor runs.
   *
   * @param endpoint its endpoint
   * @return slots taken
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
      return ended(EndpointOutcome.CONNECT_FAILED, "no connection");
    }
    CompletableFuture<EndpointReply> reply = new CompletableFuture<>();
    var ignored = reply.whenComplete((value, error) -> executor.disconnect());
    run(new Exchange(endpoint.name(), executor, request, reply), fault);
    expire(reply, timeout);
    return reply;
  }

  private void run(Exchange exchange, Optional<Fault> fault) {
    Duration wait = fault.map(Fault::time).orElse(Duration.ZERO);
    switch (fault.map(Fault::kind).orElse(FaultKind.STALE)) {
      case SILENT -> {
        return;
      }
      case ERROR_BEFORE_EFFECT -> exchange.end(EndpointOutcome.NO_ANSWER, "connection reset");
      case ANSWER_LOST -> serve(exchange, Answering.LOST);
      case CUT, FOREIGN -> serve(exchange, Answering.BROKEN);
      case SLOW -> timer.after(wait, () -> serve(exchange, Answering.WHOLE));
      case DUPLICATE -> {
        serve(exchange, Answering.WHOLE);
        serve(exchange, Answering.LOST);
      }
      case REORDERED -> timer.after(Duration.ofMillis(1), () -> serve(exchange, Answering.WHOLE));
      default -> serve(exchange, Answering.WHOLE);
    }
  }

  private void serve(Exchange exchange, Answering answering) {
    MemoryExecutor executor = exchange.executor();
    if (!executor.take()) {
      refuse(exchange, answering);
      return;
    }
    note(new EndpointRun(exchange.endpoint(), exchange.request().key(), clock.instant()));
    RequestScript.Service service = script.serve(exchange.endpoint(), exchange.request());
    Runnable finish = () -> finish(exchange, service, answering);
    if (service.time().isZero()) {
      finish.run();
      return;
    }
    timer.after(executor.scaled(service.time()), finish);
  }

  private static void refuse(Exchange exchange, Answering answering) {
    if (answering != Answering.LOST) {
      exchange.end(EndpointOutcome.BUSY, "all slots are taken");
    }
  }

  private static void finish(
      Exchange exchange, RequestScript.Service service, Answering answering) {
    exchange.executor().release();
    if (answering == Answering.WHOLE) {
      exchange.end(service.outcome(), service.body());
    }
    if (answering == Answering.BROKEN) {
      exchange.end(EndpointOutcome.NO_ANSWER, "the answer is not whole");
    }
  }

  private void expire(CompletableFuture<EndpointReply> reply, Duration timeout) {
    if (reply.isDone()) {
      return;
    }
    EndpointReply late = EndpointReply.of(EndpointOutcome.NO_ANSWER, "no answer in time");
    Runnable cancel = timer.cancellable(timeout, () -> reply.complete(late));
    var ignored = reply.whenComplete((value, error) -> cancel.run());
  }

  private void note(EndpointRun run) {
    synchronized (runs) {
      runs.addLast(run);
      if (runs.size() > MOST_RUNS) {
        runs.removeFirst();
      }
    }
  }

  private static CompletionStage<EndpointReply> ended(EndpointOutcome outcome, String detail) {
    return CompletableFuture.completedStage(EndpointReply.of(outcome, detail));
  }

  private enum Answering {
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
