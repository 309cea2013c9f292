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
 * Decides which requests are taken in, in which order they are sent, and to which endpoint.
 *
 * <p>One scheduler serves the endpoints whose home is one VM. It sends nothing itself: the caller
 * offers requests, takes dispatches by {@link #next()} until it is empty, and reports the end of
 * each by {@link #finished}. Some work becomes due by time alone, so besides after each offer and
 * each end, call {@link #expire()} and {@link #next()} every 5 to 10 ms.
 *
 * <p>Each admitted request has exactly one {@link Conclusion}, from {@link Admission.Admitted},
 * {@link Completion.Deliver}, {@link #expire()}, {@link #cancel} or {@link #configure}.
 * Thread-safe.
 *
 * <p>Example, also the recipe to time one route decision on a warm scheduler:
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
    this.log = new DecisionLog(limits.explained());
  }

  /**
   * Returns a scheduler without endpoints, within the standard bounds.
   *
   * @param clock the clock
   * @return the scheduler
   */
  public static RequestScheduler create(InstantSource clock) {
    return new RequestScheduler(clock, RequestLimits.STANDARD, 0);
  }

  /**
   * Returns an empty scheduler with the same clock and other bounds.
   *
   * @param newLimits the bounds
   * @return the scheduler
   */
  public RequestScheduler withLimits(RequestLimits newLimits) {
    return new RequestScheduler(clock, newLimits, 0);
  }

  /**
   * Returns an empty scheduler with the same clock and bounds and other random numbers.
   *
   * @param seed the seed
   * @return the scheduler
   */
  public RequestScheduler withSeed(long seed) {
    return new RequestScheduler(clock, limits, seed);
  }

  /**
   * Takes in a configuration and the endpoints whose home is here.
   *
   * @param configuration the configuration
   * @param homed the endpoints, of any pool
   * @return the outcome of waiting requests whose class is gone
   */
  public synchronized List<Conclusion> configure(
      Configuration configuration, List<EndpointConfig> homed) {
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
          homed.stream().filter(endpoint -> endpoint.pool().equals(pool.getKey())).toList();
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
   * Offers a request.
   *
   * @param request the request
   * @return what became of it
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
   * @return the dispatch, or empty when nothing may be sent now
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
   * Takes in the end of a dispatch; later repeats of it are dropped.
   *
   * @param dispatch the dispatch
   * @param outcome how it ended
   * @param took how long it took
   * @return what follows
   */
  public synchronized Completion finished(
      Dispatch dispatch, EndpointOutcome outcome, Duration took) {
    PoolScheduler pool = pools.get(dispatch.endpoint().pool());
    if (pool == null) {
      return new Completion.Dropped("its pool is not known");
    }
    return pool.finished(dispatch, outcome, took, clock.instant());
  }

  /**
   * Returns the outcome of waiting requests that can no longer be answered in time.
   *
   * @return the outcomes since the last call
   */
  public synchronized List<Conclusion> expire() {
    Instant now = clock.instant();
    return pools.values().stream().flatMap(pool -> pool.expire(now).stream()).toList();
  }

  /**
   * Cancels a request that waits; one in flight goes on.
   *
   * @param key the request
   * @return its outcome, or empty when it does not wait here
   */
  public synchronized Optional<Conclusion> cancel(RequestKey key) {
    Instant now = clock.instant();
    return pools.values().stream().flatMap(pool -> pool.cancel(key, now).stream()).findFirst();
  }

  /**
   * Counts slots of an endpoint as taken by its former home; a later call replaces an earlier one.
   *
   * @param endpoint the endpoint
   * @param slots the slots that may be taken
   * @param until when they are free at the latest
   */
  public synchronized void holdSlots(EndpointId endpoint, int slots, Instant until) {
    pools.values().forEach(pool -> pool.holdSlots(endpoint, slots, until));
  }

  /**
   * Frees the slots that a former home held.
   *
   * @param endpoint the endpoint
   */
  public synchronized void releaseHeldSlots(EndpointId endpoint) {
    pools.values().forEach(pool -> pool.releaseHeldSlots(endpoint));
  }

  /**
   * Replaces the set of endpoints that are about to leave; they get nothing new.
   *
   * @param endpoints the endpoints
   */
  public synchronized void setLeaving(Set<EndpointId> endpoints) {
    leaving = new HashSet<>(endpoints);
    pools.values().forEach(pool -> pool.setLeaving(leaving));
  }

  /**
   * Adds an endpoint to those about to leave.
   *
   * @param endpoint the endpoint
   */
  public synchronized void markLeaving(EndpointId endpoint) {
    leaving.add(endpoint);
    pools.values().forEach(pool -> pool.setLeaving(leaving));
  }

  /**
   * Returns the load of the endpoints whose home is here.
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
   * Returns the requests in flight at an endpoint.
   *
   * @param endpoint the endpoint
   * @return their number, 0 when the endpoint is not known
   */
  public synchronized int inFlight(EndpointId endpoint) {
    return pools.values().stream().mapToInt(pool -> pool.inFlight(endpoint)).sum();
  }

  /**
   * Returns the last decisions about a request; memory is bounded, so old ones are gone.
   *
   * @param key the request
   * @return the decisions, oldest first
   */
  public synchronized List<RequestDecision> explain(RequestKey key) {
    return log.of(key);
  }
}
