package org.masticspread.policy.request;

import com.google.errorprone.annotations.concurrent.GuardedBy;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.policy.request.internal.DecisionLog;
import org.masticspread.policy.request.internal.PoolScheduler;

/**
 * Decides which requests are admitted, in which order they are sent, and to which endpoint.
 *
 * <p>One scheduler serves the endpoints whose home is one VM. It does no I/O: the caller offers
 * requests, polls {@link #next()} for dispatches until it returns empty, and reports the end of
 * each dispatch with {@link #finished}. Some work becomes due only by the passage of time, so
 * callers should invoke {@link #expire()} and {@link #next()} after each offer and each finished
 * dispatch, and also every 5 to 10 ms.
 *
 * <p>Each admitted request gets exactly one {@link Conclusion}, from {@link Admission.Admitted},
 * {@link Completion.Deliver}, {@link #expire()}, {@link #cancel} or {@link #configure}.
 * Thread-safe.
 *
 * <p>Example, which can also serve to time one routing decision on a warm scheduler:
 *
 * <pre>{@code
 * RequestScheduler scheduler = RequestScheduler.create(clock).withSeed(1);
 * scheduler.configure(configuration, homedEndpoints);
 * Admission admission = scheduler.offer(request);
 * Optional<Dispatch> dispatch = scheduler.next();
 * Completion end = scheduler.finished(dispatch.get(), EndpointOutcome.ANSWERED, took);
 * }</pre>
 */
public final class RequestScheduler {
  private final InstantSource clock;
  private final RequestLimits limits;
  private final UniformRandomProvider random;

  @GuardedBy("this")
  private final DecisionLog log;

  @GuardedBy("this")
  private final Map<PoolId, PoolScheduler> pools = new LinkedHashMap<>();

  @GuardedBy("this")
  private final Map<TeamId, PoolScheduler> poolsByTeam = new LinkedHashMap<>();

  @GuardedBy("this")
  private Set<EndpointId> leaving = new HashSet<>();

  private RequestScheduler(InstantSource clock, RequestLimits limits, long seed) {
    this.clock = clock;
    this.limits = limits;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(seed);
    this.log = new DecisionLog(limits.maxExplainedRequests());
  }

  /**
   * Creates a scheduler without endpoints and with {@link RequestLimits#STANDARD}.
   *
   * @param clock the clock
   * @return the scheduler
   */
  public static RequestScheduler create(InstantSource clock) {
    return new RequestScheduler(clock, RequestLimits.STANDARD, 0);
  }

  /**
   * Returns a new, empty scheduler with the same clock and the given limits.
   *
   * @param newLimits the limits
   * @return the scheduler
   */
  public RequestScheduler withLimits(RequestLimits newLimits) {
    return new RequestScheduler(clock, newLimits, 0);
  }

  /**
   * Returns a new, empty scheduler with the same clock and limits and the given random seed.
   *
   * @param seed the seed
   * @return the scheduler
   */
  public RequestScheduler withSeed(long seed) {
    return new RequestScheduler(clock, limits, seed);
  }

  /**
   * Applies a configuration and the set of endpoints whose home is this VM.
   *
   * @param configuration the configuration
   * @param homeEndpoints the endpoints, of any pool
   * @return the results of queued requests whose work class no longer exists
   */
  public synchronized List<Conclusion> configure(
      Configuration configuration, List<EndpointConfig> homeEndpoints) {
    Instant now = clock.instant();
    for (PoolConfig pool : configuration.pools()) {
      if (!pools.containsKey(pool.name())) {
        pools.put(
            pool.name(), new PoolScheduler(pool.name(), limits, random, log).setLeaving(leaving));
      }
    }
    List<Conclusion> conclusions = new ArrayList<>();
    for (Map.Entry<PoolId, PoolScheduler> pool : pools.entrySet()) {
      List<EndpointConfig> own =
          homeEndpoints.stream().filter(endpoint -> endpoint.pool().equals(pool.getKey())).toList();
      conclusions.addAll(pool.getValue().configure(configuration, own, now));
    }
    poolsByTeam.clear();
    for (TeamConfig team : configuration.teams()) {
      if (!team.retired() && pools.containsKey(team.pool())) {
        poolsByTeam.put(team.name(), pools.get(team.pool()));
      }
    }
    return conclusions;
  }

  /**
   * Offers a request for admission.
   *
   * @param request the request
   * @return whether it was admitted or refused
   */
  public synchronized Admission offer(RequestSpec request) {
    PoolScheduler pool = poolsByTeam.get(request.key().team());
    if (pool == null) {
      return new Admission.Refused(
          ResultCode.NOT_FOUND, Duration.ZERO, "there is no team " + request.key().team());
    }
    return pool.offer(request, clock.instant());
  }

  /**
   * Chooses the next request to send and its endpoint.
   *
   * @return the dispatch, or empty if nothing may be sent now
   */
  public synchronized Optional<Dispatch> next() {
    Instant now = clock.instant();
    for (PoolScheduler pool : pools.values()) {
      Optional<Dispatch> dispatch = pool.next(now);
      if (dispatch.isPresent()) {
        return dispatch;
      }
    }
    return Optional.empty();
  }

  /**
   * Records the end of a dispatch. Repeated calls for the same dispatch are ignored.
   *
   * @param dispatch the dispatch
   * @param outcome how it ended
   * @param took how long it took
   * @return the consequence for the request
   */
  public synchronized Completion finished(
      Dispatch dispatch, EndpointOutcome outcome, Duration took) {
    PoolScheduler pool = pools.get(dispatch.endpoint().pool());
    if (pool == null) {
      return new Completion.Dropped("the pool of its endpoint is not configured");
    }
    return pool.finished(dispatch, outcome, took, clock.instant());
  }

  /**
   * Expires queued requests that can no longer be answered in time.
   *
   * @return the results of the requests expired since the last call
   */
  public synchronized List<Conclusion> expire() {
    Instant now = clock.instant();
    return pools.values().stream().flatMap(pool -> pool.expire(now).stream()).toList();
  }

  /**
   * Cancels a queued request. A request in flight is not affected.
   *
   * @param key the request
   * @return its result, or empty if it is not queued here
   */
  public synchronized Optional<Conclusion> cancel(RequestKey key) {
    Instant now = clock.instant();
    return pools.values().stream().flatMap(pool -> pool.cancel(key, now).stream()).findFirst();
  }

  /**
   * Counts slots of an endpoint as occupied by its former home. A later call replaces an earlier
   * one.
   *
   * @param endpoint the endpoint
   * @param slots the number of slots that may be occupied
   * @param until when they become free at the latest
   */
  public synchronized void holdSlots(EndpointId endpoint, int slots, Instant until) {
    pools.values().forEach(pool -> pool.holdSlots(endpoint, slots, until));
  }

  /**
   * Frees the slots held for the former home of an endpoint.
   *
   * @param endpoint the endpoint
   */
  public synchronized void releaseHeldSlots(EndpointId endpoint) {
    pools.values().forEach(pool -> pool.releaseHeldSlots(endpoint));
  }

  /**
   * Replaces the set of leaving endpoints, which get no new requests.
   *
   * @param endpoints the endpoints
   */
  public synchronized void setLeaving(Set<EndpointId> endpoints) {
    leaving = new HashSet<>(endpoints);
    pools.values().forEach(pool -> pool.setLeaving(leaving));
  }

  /**
   * Adds an endpoint to the set of leaving endpoints.
   *
   * @param endpoint the endpoint
   */
  public synchronized void markLeaving(EndpointId endpoint) {
    leaving.add(endpoint);
    pools.values().forEach(pool -> pool.setLeaving(leaving));
  }

  /**
   * Returns the load of the endpoints whose home is this VM.
   *
   * @return the load
   */
  public synchronized HomeDigest digest() {
    Instant now = clock.instant();
    List<HomeDigest> digests = pools.values().stream().map(pool -> pool.digest(now)).toList();
    return new HomeDigest(
        sum(digests, HomeDigest::slots),
        sum(digests, HomeDigest::busy),
        sum(digests, HomeDigest::queued),
        digests.stream().mapToDouble(HomeDigest::perSecond).sum());
  }

  private static int sum(List<HomeDigest> digests, Function<HomeDigest, Integer> field) {
    return digests.stream().mapToInt(field::apply).sum();
  }

  /**
   * Returns the number of requests in flight at an endpoint.
   *
   * @param endpoint the endpoint
   * @return the number, 0 if the endpoint is unknown
   */
  public synchronized int inFlight(EndpointId endpoint) {
    return pools.values().stream().mapToInt(pool -> pool.inFlight(endpoint)).sum();
  }

  /**
   * Returns the latest decisions about a request. Older decisions are discarded to bound memory.
   *
   * @param key the request
   * @return the decisions, oldest first
   */
  public synchronized List<RequestDecision> explain(RequestKey key) {
    return log.decisionsOf(key);
  }
}
