package org.masticspread.node.request;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.AskInFlight;
import org.masticspread.model.peer.InFlight;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;
import org.masticspread.state.ownership.ShardMap;

/**
 * Handover of endpoints between homes: a new home reserves the slots that a former home may still
 * use, until the former home has reported its requests in flight or the maximum answer time has
 * passed. Thread-safe.
 */
public final class HomeHandover {
  private static final Duration QUERY_TIMEOUT = Duration.ofSeconds(1);

  private final VmId self;
  private final EndpointHome home;
  private final Members members;
  private final PeerCalls calls;
  private final ShardMap map;
  private final InstantSource clock;
  private final Duration longestAnswer;
  private final Supplier<Set<VmId>> homes;
  private final Map<EndpointId, Handover> handovers = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private Set<VmId> lastVms = Set.of();
  private long lastRevision = -1;

  /** Slots that former homes still use, by VM. A VM that has not reported may use all of them. */
  private record Handover(EndpointConfig endpoint, Instant until, Map<VmId, Integer> reported) {}

  /**
   * Creates the handover.
   *
   * @param self this VM
   * @param home the home of this VM
   * @param members the members of the cluster
   * @param calls the calls to former homes
   * @param map the mapping of endpoints to homes
   * @param clock the clock
   * @param longestAnswer the maximum time until a request is answered
   * @param homes the VMs that may be homes; it differs between VMs only for a short time after a
   *     change
   */
  public HomeHandover(
      VmId self,
      EndpointHome home,
      Members members,
      PeerCalls calls,
      ShardMap map,
      InstantSource clock,
      Duration longestAnswer,
      Supplier<Set<VmId>> homes) {
    this.self = self;
    this.home = home;
    this.members = members;
    this.calls = calls;
    this.map = map;
    this.clock = clock;
    this.longestAnswer = longestAnswer;
    this.homes = homes;
  }

  /**
   * Applies a configuration at once.
   *
   * @param newer the configuration in force
   */
  public synchronized void configure(Configuration newer) {
    configuration = newer;
    update();
  }

  /**
   * Applies changes of the live VMs and queries former homes again while slots are reserved for
   * them.
   */
  public synchronized void update() {
    home.leaving(members.leavingEndpoints());
    Set<VmId> vms = homes.get();
    if (!vms.equals(lastVms) || configuration.revision() != lastRevision) {
      lastVms = vms;
      lastRevision = configuration.revision();
      assignEndpoints(vms);
    }
    queryFormerHomes();
  }

  private void assignEndpoints(Set<VmId> vms) {
    List<EndpointConfig> own = new ArrayList<>();
    for (EndpointConfig endpoint : configuration.endpoints()) {
      boolean active = endpoint.state() != EndpointState.RETIRED;
      if (active && map.home(endpoint.name(), vms).filter(self::equals).isPresent()) {
        own.add(endpoint);
      }
    }
    Instant reservedUntil = clock.instant().plus(maxAnswerTime());
    for (EndpointConfig endpoint : home.configure(configuration, own)) {
      if (!members.others().isEmpty()) {
        handovers.put(endpoint.name(), new Handover(endpoint, reservedUntil, new HashMap<>()));
        home.hold(endpoint.name(), endpoint.slots(), reservedUntil);
      }
    }
  }

  private Duration maxAnswerTime() {
    Duration longest =
        configuration.workClasses().stream()
            .map(WorkClassConfig::answerWithin)
            .max(Duration::compareTo)
            .orElse(longestAnswer);
    return longest.compareTo(longestAnswer) < 0 ? longest : longestAnswer;
  }

  private void queryFormerHomes() {
    Instant now = clock.instant();
    handovers.values().removeIf(m -> now.isAfter(m.until()));
    if (handovers.isEmpty()) {
      return;
    }
    AskInFlight message = new AskInFlight(List.copyOf(handovers.keySet()));
    for (VmId vm : members.others()) {
      calls
          .call(vm, message, InFlight.class, QUERY_TIMEOUT)
          .thenAccept(answer -> applyReport(vm, answer))
          .exceptionally(thrown -> null);
    }
  }

  private synchronized void applyReport(VmId vm, InFlight answer) {
    answer
        .endpoints()
        .forEach(
            load -> {
              Handover handover = handovers.get(load.endpoint());
              if (handover != null) {
                handover.reported().put(vm, load.inFlight());
                reserveSlots(handover);
              }
            });
  }

  private void reserveSlots(Handover handover) {
    Set<VmId> unreported = new HashSet<>(lastVms);
    unreported.retainAll(members.others());
    unreported.removeAll(handover.reported().keySet());
    int reported = handover.reported().values().stream().mapToInt(Integer::intValue).sum();
    int slots =
        unreported.isEmpty()
            ? Math.min(reported, handover.endpoint().slots())
            : handover.endpoint().slots();
    home.hold(handover.endpoint().name(), slots, handover.until());
    if (slots == 0) {
      handovers.remove(handover.endpoint().name());
    }
  }
}
