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
 * Moves endpoints between homes: a new home counts the slots that a former one may hold as taken,
 * until that one has told or the longest answer time has passed. Thread-safe.
 */
public final class HomeMoves {
  private static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);

  private final VmId self;
  private final EndpointHome home;
  private final Members members;
  private final PeerCalls calls;
  private final ShardMap map;
  private final InstantSource clock;
  private final Duration longestAnswer;
  private final Supplier<Set<VmId>> homes;
  private final Map<EndpointId, Move> moves = new HashMap<>();
  private Configuration configuration = Configuration.EMPTY;
  private Set<VmId> lastVms = Set.of();
  private long lastRevision = -1;

  /** Slots that former homes may hold, by VM; a VM that has not told may hold all. */
  private record Move(EndpointConfig endpoint, Instant until, Map<VmId, Integer> told) {}

  /**
   * Creates the moves.
   *
   * @param self this VM
   * @param home the home of this VM
   * @param members the view of this VM
   * @param calls calls former homes
   * @param map finds the home of an endpoint
   * @param clock the clock
   * @param longestAnswer the longest time a request may take
   * @param homes the VMs that may be homes, the same on every VM but for a short time
   */
  public HomeMoves(
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
   * Takes over the configuration; it takes effect at once.
   *
   * @param newer the configuration in force
   */
  public synchronized void configure(Configuration newer) {
    configuration = newer;
    update();
  }

  /** Follows the live VMs, and asks former homes again while they hold slots. */
  public synchronized void update() {
    home.leaving(members.leavingEndpoints());
    Set<VmId> vms = homes.get();
    if (!vms.equals(lastVms) || configuration.revision() != lastRevision) {
      lastVms = vms;
      lastRevision = configuration.revision();
      move(vms);
    }
    ask();
  }

  private void move(Set<VmId> vms) {
    List<EndpointConfig> own = new ArrayList<>();
    for (EndpointConfig endpoint : configuration.endpoints()) {
      boolean active = endpoint.state() != EndpointState.RETIRED;
      if (active && map.home(endpoint.name(), vms).filter(self::equals).isPresent()) {
        own.add(endpoint);
      }
    }
    Instant until = clock.instant().plus(longestWait());
    for (EndpointConfig endpoint : home.configure(configuration, own)) {
      if (!members.others().isEmpty()) {
        moves.put(endpoint.name(), new Move(endpoint, until, new HashMap<>()));
        home.hold(endpoint.name(), endpoint.slots(), until);
      }
    }
  }

  private Duration longestWait() {
    Duration longest =
        configuration.workClasses().stream()
            .map(WorkClassConfig::answerWithin)
            .max(Duration::compareTo)
            .orElse(longestAnswer);
    return longest.compareTo(longestAnswer) < 0 ? longest : longestAnswer;
  }

  private void ask() {
    Instant now = clock.instant();
    moves.values().removeIf(m -> now.isAfter(m.until()));
    if (moves.isEmpty()) {
      return;
    }
    AskInFlight message = new AskInFlight(List.copyOf(moves.keySet()));
    for (VmId vm : members.others()) {
      calls
          .call(vm, message, InFlight.class, ASK_TIMEOUT)
          .thenAccept(answer -> take(vm, answer))
          .exceptionally(thrown -> null);
    }
  }

  private synchronized void take(VmId vm, InFlight answer) {
    answer
        .endpoints()
        .forEach(
            load -> {
              Move move = moves.get(load.endpoint());
              if (move != null) {
                move.told().put(vm, load.inFlight());
                hold(move);
              }
            });
  }

  private void hold(Move move) {
    Set<VmId> silent = new HashSet<>(lastVms);
    silent.retainAll(members.others());
    silent.removeAll(move.told().keySet());
    int told = move.told().values().stream().mapToInt(Integer::intValue).sum();
    int slots =
        silent.isEmpty() ? Math.min(told, move.endpoint().slots()) : move.endpoint().slots();
    home.hold(move.endpoint().name(), slots, move.until());
    if (slots == 0) {
      moves.remove(move.endpoint().name());
    }
  }
}
