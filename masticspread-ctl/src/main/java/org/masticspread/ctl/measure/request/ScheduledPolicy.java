package org.masticspread.ctl.measure.request;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.policy.request.Admission;
import org.masticspread.policy.request.Conclusion;
import org.masticspread.policy.request.Dispatch;
import org.masticspread.policy.request.RequestScheduler;

/** The policy of the real scheduler, run on a virtual clock. */
final class ScheduledPolicy implements RequestPolicy {
  private final VirtualClock clock = new VirtualClock();
  private final RequestScheduler scheduler;
  private final Map<EndpointId, Integer> executors = new HashMap<>();
  private final Map<RequestKey, Arrival> arrivals = new HashMap<>();
  private final List<Arrival> evicted = new ArrayList<>();

  ScheduledPolicy(Deployment deployment, long seed) {
    List<EndpointConfig> endpoints = deployment.configuration().endpoints();
    scheduler = RequestScheduler.create(clock).withSeed(seed);
    scheduler.configure(deployment.configuration(), endpoints);
    endpoints.forEach(endpoint -> executors.put(endpoint.name(), executors.size()));
  }

  @Override
  public boolean offer(Arrival arrival, long now) {
    clock.set(now);
    RequestSpec request = request(arrival);
    if (!(scheduler.offer(request) instanceof Admission.Admitted admitted)) {
      return false;
    }
    arrivals.put(request.key(), arrival);
    evicted.addAll(removeArrivals(admitted.evicted()));
    return true;
  }

  private static RequestSpec request(Arrival arrival) {
    WorkClassConfig config = arrival.stream.workClass();
    return new RequestSpec(
        new RequestKey(config.team(), RequestId.of("r" + arrival.number)),
        config.name(),
        config.urgency(),
        config.idempotent(),
        VirtualClock.at(arrival.answerBy),
        Payload.EMPTY);
  }

  @Override
  public Start next(long now) {
    clock.set(now);
    Optional<Dispatch> dispatch = scheduler.next();
    return dispatch.map(this::start).orElse(null);
  }

  private Start start(Dispatch dispatch) {
    Arrival arrival = arrivals.get(dispatch.request().key());
    return new Start(arrival, executors.get(dispatch.endpoint().name()), dispatch);
  }

  @Override
  public void finished(Start start, long took, long now) {
    clock.set(now);
    Dispatch dispatch = (Dispatch) start.handle();
    scheduler.finished(dispatch, EndpointOutcome.ANSWERED, Duration.ofNanos(took));
    arrivals.remove(dispatch.request().key());
  }

  @Override
  public List<Arrival> abandoned(long now) {
    clock.set(now);
    List<Arrival> result = removeArrivals(scheduler.expire());
    result.addAll(evicted);
    evicted.clear();
    return result;
  }

  private List<Arrival> removeArrivals(List<Conclusion> conclusions) {
    List<Arrival> result = new ArrayList<>();
    conclusions.forEach(conclusion -> result.add(arrivals.remove(conclusion.request().key())));
    return result;
  }
}
