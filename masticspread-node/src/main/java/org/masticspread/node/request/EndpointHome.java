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
 * The home of endpoints: queues their requests, sends them within slots and connections, and takes
 * the answers. Thread-safe; no lock is held while an endpoint is called.
 *
 * <p>Example: {@code home.run(request)}, and {@code home.tick()} every few milliseconds.
 */
public final class EndpointHome {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final RequestScheduler scheduler;
  private final EndpointPort endpoints;
  private final InstantSource clock;
  private final Map<RequestKey, Waiting> waiting = new ConcurrentHashMap<>();
  private final Set<Sent> seenOnce = ConcurrentHashMap.newKeySet();
  private final Meter dispatched;
  private final Meter broken;
  private volatile Set<EndpointId> homed = Set.of();

  /** One sending of a request; a repeat by its caller has another answer-by instant. */
  private record Sent(RequestKey key, Instant answerBy) {}

  /** A request here and the future of its answer. */
  private record Waiting(RequestSpec request, CompletableFuture<Answer> answer) {}

  /**
   * Creates the home of no endpoint.
   *
   * @param scheduler decides
   * @param endpoints calls endpoints
   * @param clock the clock
   * @param metrics where it counts
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
    this.broken = metrics.meter("home.noanswer");
  }

  /**
   * Takes over the endpoints whose home is here.
   *
   * @param configuration the configuration in force
   * @param own the endpoints
   * @return endpoints that were not homed here before
   */
  public List<EndpointConfig> configure(Configuration configuration, List<EndpointConfig> own) {
    final Set<EndpointId> before = homed;
    conclude(scheduler.configure(configuration, own));
    homed = own.stream().map(EndpointConfig::name).collect(Collectors.toSet());
    pump();
    return own.stream().filter(e -> !before.contains(e.name())).toList();
  }

  /**
   * Counts slots as taken by a former home.
   *
   * @param endpoint the endpoint
   * @param slots the slots that it may hold; 0 frees them
   * @param until when they are free at the latest
   */
  public void hold(EndpointId endpoint, int slots, Instant until) {
    if (slots == 0) {
      scheduler.releaseHeldSlots(endpoint);
      pump();
      return;
    }
    scheduler.holdSlots(endpoint, slots, until);
  }

  /**
   * Replaces the endpoints that get nothing new.
   *
   * @param leaving the endpoints that are leaving or gone
   */
  public void leaving(Set<EndpointId> leaving) {
    scheduler.setLeaving(leaving);
  }

  /**
   * Runs a request. One that must run at most once is taken once until its answer-by time is over,
   * so that a message that arrives twice does not run it again.
   *
   * @param request the request
   * @return the outcome; the stage never fails
   */
  public CompletionStage<Answer> run(RequestSpec request) {
    Waiting mine = new Waiting(request, new CompletableFuture<>());
    Waiting earlier = waiting.putIfAbsent(request.key(), mine);
    if (earlier != null) {
      return repeat(request, earlier);
    }
    Sent sent = new Sent(request.key(), request.answerBy());
    if (!request.idempotent() && !seenOnce.add(sent)) {
      deliver(Answer.of(request.key(), ResultCode.OUTCOME_UNKNOWN, "the same message came before"));
      return mine.answer();
    }
    Admission admission = scheduler.offer(request);
    if (admission instanceof Admission.Refused refused) {
      Answer answer =
          new Answer(
              request.key(), refused.code(), Payload.EMPTY, refused.reason(), refused.retryAfter());
      deliver(answer);
      return mine.answer();
    }
    conclude(((Admission.Admitted) admission).evicted());
    pump();
    return mine.answer();
  }

  private static CompletionStage<Answer> repeat(RequestSpec request, Waiting earlier) {
    if (earlier.request().body().equals(request.body())) {
      return earlier.answer();
    }
    return CompletableFuture.completedFuture(
        Answer.of(
            request.key(),
            ResultCode.ID_REUSED,
            "request: the id is in use with different content"));
  }

  /** Ends requests whose time is over and sends those that are due. */
  public void tick() {
    Instant now = clock.instant();
    seenOnce.removeIf(s -> now.isAfter(s.answerBy()));
    conclude(scheduler.expire());
    pump();
  }

  private void pump() {
    for (Optional<Dispatch> d = scheduler.next(); d.isPresent(); d = scheduler.next()) {
      send(d.get());
    }
  }

  private void send(Dispatch dispatch) {
    dispatched.mark();
    Instant sent = clock.instant();
    endpoints
        .call(dispatch.endpoint(), dispatch.request(), dispatch.timeout())
        .whenComplete(
            (reply, thrown) -> {
              EndpointReply known =
                  thrown == null
                      ? reply
                      : EndpointReply.of(EndpointOutcome.NO_ANSWER, "fault: " + thrown);
              finish(dispatch, known, Duration.between(sent, clock.instant()));
            });
  }

  private void finish(Dispatch dispatch, EndpointReply reply, Duration took) {
    if (reply.outcome() == EndpointOutcome.NO_ANSWER) {
      broken.mark();
      LOG.atFine().log("home: no answer of %s: %s", dispatch.endpoint().name(), reply.detail());
    }
    Completion completion = scheduler.finished(dispatch, reply.outcome(), took);
    if (completion instanceof Completion.Deliver deliver) {
      deliver(deliver.conclusion().toAnswer(reply.body()));
    }
    pump();
  }

  private void conclude(List<Conclusion> conclusions) {
    conclusions.forEach(c -> deliver(c.toAnswer(Payload.EMPTY)));
  }

  private void deliver(Answer answer) {
    Waiting found = waiting.remove(answer.key());
    if (found != null) {
      found.answer().complete(answer);
    }
  }

  /**
   * Answers a new home.
   *
   * @param message the endpoints
   * @return what is in flight from here
   */
  public InFlight inFlight(AskInFlight message) {
    return new InFlight(
        message.endpoints().stream().map(e -> new EndpointLoad(e, scheduler.inFlight(e))).toList());
  }

  /**
   * Counts the requests that wait or are in flight here.
   *
   * @return the number of requests
   */
  public int inFlight() {
    return waiting.size();
  }

  /**
   * Returns the load of the homed endpoints.
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
