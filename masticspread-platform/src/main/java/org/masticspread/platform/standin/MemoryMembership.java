package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.TreeMap;
import java.util.TreeSet;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipList;
import org.masticspread.model.platform.MembershipView;
import org.masticspread.model.platform.StoreException;

/**
 * An in-memory membership list that shows changes with a lag.
 *
 * <p>Example: {@code new MemoryMembership(clock, Duration.ofSeconds(2), Faults.none())}. In the
 * fault script, calls are named {@code membership.read}, {@code membership.register/VM} and {@code
 * membership.deregister/VM}. Thread-safe.
 */
public final class MemoryMembership implements MembershipList {
  private static final int MAX_VIEWS = 1000;
  private static final MembershipView EMPTY =
      new MembershipView(List.of(), List.of(), List.of(), List.of());

  private final InstantSource clock;
  private final Duration lag;
  private final FaultInjector<StoreException> injector;
  private final TreeMap<VmId, Member> members = new TreeMap<>();
  private final TreeSet<EndpointId> leavingEndpoints = new TreeSet<>();
  private final TreeSet<EndpointId> goneEndpoints = new TreeSet<>();
  private final TreeSet<WorkerId> goneWorkers = new TreeSet<>();
  private final Deque<TimedView> views = new ArrayDeque<>();

  /**
   * Creates an empty list.
   *
   * @param clock the clock
   * @param lag the time until readers see a change
   * @param faults the script of faults
   */
  public MemoryMembership(InstantSource clock, Duration lag, Faults faults) {
    this.clock = clock;
    this.lag = lag;
    this.injector = StoreFailures.injector(faults);
    views.add(new TimedView(Instant.MIN, EMPTY));
  }

  @Override
  public MembershipView read() throws StoreException {
    return injector.runRead(
        "membership.read", age -> viewAt(clock.instant().minus(lag).minus(age)));
  }

  @Override
  public void register(Member member) throws StoreException {
    injector.run(
        "membership.register/" + member.vm(), () -> change(() -> members.put(member.vm(), member)));
  }

  @Override
  public void deregister(VmId vm) throws StoreException {
    injector.run("membership.deregister/" + vm, () -> change(() -> members.remove(vm)));
  }

  /**
   * Marks an endpoint as leaving.
   *
   * @param endpoint the endpoint
   */
  public void leave(EndpointId endpoint) {
    change(() -> leavingEndpoints.add(endpoint));
  }

  /**
   * Marks an endpoint as gone.
   *
   * @param endpoint the endpoint
   */
  public void remove(EndpointId endpoint) {
    change(
        () -> {
          leavingEndpoints.remove(endpoint);
          goneEndpoints.add(endpoint);
        });
  }

  /**
   * Marks a worker as gone.
   *
   * @param worker the worker
   */
  public void remove(WorkerId worker) {
    change(() -> goneWorkers.add(worker));
  }

  /**
   * Restores an endpoint that was leaving or gone.
   *
   * @param endpoint the endpoint
   */
  public void restore(EndpointId endpoint) {
    change(
        () -> {
          leavingEndpoints.remove(endpoint);
          goneEndpoints.remove(endpoint);
        });
  }

  /**
   * Restores a worker that was gone.
   *
   * @param worker the worker
   */
  public void restore(WorkerId worker) {
    change(() -> goneWorkers.remove(worker));
  }

  private synchronized Void change(Runnable change) {
    change.run();
    MembershipView view =
        new MembershipView(
            List.copyOf(members.values()),
            List.copyOf(leavingEndpoints),
            List.copyOf(goneEndpoints),
            List.copyOf(goneWorkers));
    views.addLast(new TimedView(clock.instant(), view));
    if (views.size() > MAX_VIEWS) {
      views.removeFirst();
    }
    return null;
  }

  private synchronized MembershipView viewAt(Instant instant) {
    MembershipView found = views.getFirst().view();
    for (TimedView timedView : views) {
      if (timedView.at().isAfter(instant)) {
        break;
      }
      found = timedView.view();
    }
    return found;
  }

  private record TimedView(Instant at, MembershipView view) {}
}
