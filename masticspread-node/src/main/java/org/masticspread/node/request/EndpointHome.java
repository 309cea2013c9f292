package org.masticspread.node.request;

import com.codahale.metrics.Meter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Collectors;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.peer.AskInFlight;
import org.masticspread.model.peer.EndpointLoad;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.peer.InFlight;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.platform.EndpointPort;
import org.masticspread.model.platform.EndpointReply;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.policy.request.Admission;
import org.masticspread.policy.request.Completion;
import org.masticspread.policy.request.Conclusion;
import org.masticspread.policy.request.Dispatch;
import org.masticspread.policy.request.RequestScheduler;

/**
 * Home of endpoints: queues their requests, dispatches them within the limits of slots and
 * connections, and delivers the answers. Thread-safe; no lock is held while an endpoint is called.
 *
 * <p>Example: {@code home.run(request)}, and {@code home.tick()} every few milliseconds.
 */
public final class EndpointHome {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final RequestScheduler scheduler;
  private final EndpointPort endpoints;
  private final InstantSource clock;
  private final Map<RequestKey, Pending> pending = new ConcurrentHashMap<>();
  private final Set<MessageId> receivedMessages = ConcurrentHashMap.newKeySet();
  private final Meter dispatched;
  private final Meter unanswered;
  private volatile Set<EndpointId> ownEndpoints = Set.of();

  /**
   * Identity of one message with a request; a request that the caller sends again has another
   * answer-by instant.
   */
  private record MessageId(RequestKey key, Instant answerBy) {}

  /** Request that is queued or in flight, with the future of its answer. */
  private record Pending(RequestSpec request, CompletableFuture<Answer> answer) {}

  /**
   * Creates the home without any endpoint.
   *
   * @param scheduler the scheduler that decides on admission and dispatch
   * @param endpoints the port to the endpoints
   * @param clock the clock
   * @param metrics the registry of metrics
   */
  public EndpointHome(
      RequestScheduler scheduler,
      EndpointPort endpoints,
      InstantSource clock,
      MetricRegistry metrics) {
    this.scheduler = scheduler;
    this.endpoints = endpoints;
    this.clock = clock;
    this.dispatched = metrics.meter("home.dispatched");
    this.unanswered = metrics.meter("home.noanswer");
  }

  /**
   * Applies a configuration and the set of endpoints whose home is this VM.
   *
   * @param configuration the configuration in force
   * @param own the endpoints of this home
   * @return the endpoints that are new at this home
   */
  public List<EndpointConfig> configure(Configuration configuration, List<EndpointConfig> own) {
    final Set<EndpointId> before = ownEndpoints;
    deliverAll(scheduler.configure(configuration, own));
    ownEndpoints = own.stream().map(EndpointConfig::name).collect(Collectors.toSet());
    dispatchDue();
    return own.stream().filter(e -> !before.contains(e.name())).toList();
  }

  /**
   * Reserves slots that a former home may still use.
   *
   * @param endpoint the endpoint
   * @param slots the number of slots to reserve; 0 releases them
   * @param until when the reservation ends at the latest
   */
  public void hold(EndpointId endpoint, int slots, Instant until) {
    if (slots == 0) {
      scheduler.releaseHeldSlots(endpoint);
      dispatchDue();
      return;
    }
    scheduler.holdSlots(endpoint, slots, until);
  }

  /**
   * Replaces the set of endpoints that get no new requests.
   *
   * @param leaving the endpoints that are leaving or gone
   */
  public void leaving(Set<EndpointId> leaving) {
    scheduler.setLeaving(leaving);
  }

  /**
   * Runs a request. A request that must run at most once is accepted once until its answer-by time
   * is over, so that a message that arrives twice does not run it again.
   *
   * @param request the request
   * @return the outcome; the stage never fails
   */
  public CompletionStage<Answer> run(RequestSpec request) {
    Pending entry = new Pending(request, new CompletableFuture<>());
    Pending earlier = pending.putIfAbsent(request.key(), entry);
    if (earlier != null) {
      return answerRepeat(request, earlier);
    }
    MessageId message = new MessageId(request.key(), request.answerBy());
    if (!request.idempotent() && !receivedMessages.add(message)) {
      deliver(
          Answer.of(
              request.key(), ResultCode.OUTCOME_UNKNOWN, "the same message was received before"));
      return entry.answer();
    }
    Admission admission = scheduler.offer(request);
    if (admission instanceof Admission.Refused refused) {
      Answer answer =
          new Answer(
              request.key(), refused.code(), Payload.EMPTY, refused.reason(), refused.retryAfter());
      deliver(answer);
      return entry.answer();
    }
    deliverAll(((Admission.Admitted) admission).evicted());
    dispatchDue();
    return entry.answer();
  }

  private static CompletionStage<Answer> answerRepeat(RequestSpec request, Pending earlier) {
    if (earlier.request().body().equals(request.body())) {
      return earlier.answer();
    }
    return CompletableFuture.completedFuture(
        Answer.of(
            request.key(),
            ResultCode.ID_REUSED,
            "request: the id is in use with different content"));
  }

  /** Expires requests whose time is over and dispatches those that are due. */
  public void tick() {
    Instant now = clock.instant();
    receivedMessages.removeIf(s -> now.isAfter(s.answerBy()));
    deliverAll(scheduler.expire());
    dispatchDue();
  }

  private void dispatchDue() {
    for (Optional<Dispatch> d = scheduler.next(); d.isPresent(); d = scheduler.next()) {
      send(d.get());
    }
  }

  private void send(Dispatch dispatch) {
    dispatched.mark();
    Instant sentAt = clock.instant();
    endpoints
        .call(dispatch.endpoint(), dispatch.request(), dispatch.timeout())
        .whenComplete(
            (reply, thrown) -> {
              EndpointReply outcome =
                  thrown == null
                      ? reply
                      : EndpointReply.of(
                          EndpointOutcome.NO_ANSWER, "unexpected exception: " + thrown);
              finish(dispatch, outcome, Duration.between(sentAt, clock.instant()));
            });
  }

  private void finish(Dispatch dispatch, EndpointReply reply, Duration elapsed) {
    if (reply.outcome() == EndpointOutcome.NO_ANSWER) {
      unanswered.mark();
      LOG.atFine().log("home: no answer from %s: %s", dispatch.endpoint().name(), reply.detail());
    }
    Completion completion = scheduler.finished(dispatch, reply.outcome(), elapsed);
    if (completion instanceof Completion.Deliver deliver) {
      deliver(deliver.conclusion().toAnswer(reply.body()));
    }
    dispatchDue();
  }

  private void deliverAll(List<Conclusion> conclusions) {
    conclusions.forEach(c -> deliver(c.toAnswer(Payload.EMPTY)));
  }

  private void deliver(Answer answer) {
    Pending found = pending.remove(answer.key());
    if (found != null) {
      found.answer().complete(answer);
    }
  }

  /**
   * Answers the query of a new home.
   *
   * @param message the endpoints
   * @return the number of requests in flight from this VM by endpoint
   */
  public InFlight inFlight(AskInFlight message) {
    return new InFlight(
        message.endpoints().stream().map(e -> new EndpointLoad(e, scheduler.inFlight(e))).toList());
  }

  /**
   * Returns the number of requests that are queued or in flight at this home.
   *
   * @return the number of requests
   */
  public int inFlight() {
    return pending.size();
  }

  /**
   * Returns the load of the endpoints of this home.
   *
   * @return the load
   */
  public HomeDigest digest() {
    return scheduler.digest();
  }

  /**
   * Returns the decisions about a request.
   *
   * @param key the request
   * @return decisions to reasons, oldest first
   */
  public Map<Instant, String> decisions(RequestKey key) {
    Map<Instant, String> decisions = new HashMap<>();
    scheduler.explain(key).forEach(d -> decisions.put(d.at(), d.decision() + ": " + d.reason()));
    return decisions;
  }
}
