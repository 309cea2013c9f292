package org.masticspread.cell.gateway;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.function.Consumer;
import org.masticspread.cell.journal.LeaderRecord;
import org.masticspread.cell.lead.Vm;
import org.masticspread.cell.lead.VmPorts;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.CellReply;

/**
 * The calls of one kind that a VM sends to the leader: as many at once as its window allows, the
 * most urgent first. While no leader takes calls they wait here, and the leader is only probed.
 * Confined to the VM's thread.
 */
final class LeaderLine {
  /** An attempt at a leader that answers quickly is made again after this. */
  private static final Duration ATTEMPT = Duration.ofMillis(1200);

  /** Between two looks at what waits. */
  private static final Duration LOOK = Duration.ofMillis(40);

  /** A call that would wait longer is refused at once: a check has some 250 ms in all. */
  private static final Duration LONGEST_WAIT = Duration.ofMillis(400);

  /** Calls that wait while no VM leads: what a new leader takes in within a moment. */
  private static final int MOST_WAITING = 100;

  /** What becomes of a call that got no final answer, or cannot wait. */
  interface Owner {
    /** Try again, or give up if there is no time left. */
    void again(Trip trip, Duration pause);

    /** The leader answered. */
    void answered(Trip trip, CellReply reply);

    /** The call was not sent and would wait for too long. */
    void crowded(Trip trip, Duration wait);

    /** The call waited to the end of its time. */
    void expired(Trip trip);
  }

  private static final Comparator<Trip> MOST_URGENT =
      Comparator.<Trip>comparingInt(trip -> trip.mayHaveEffect() ? 0 : 1)
          .thenComparingInt(trip -> trip.rank)
          .thenComparingLong(trip -> trip.begunMillis);

  private final VmPorts ports;
  private final Vm vm;
  private final Owner owner;
  private final CallWindow window;
  private final PriorityQueue<Trip> waiting = new PriorityQueue<>(MOST_URGENT);
  private final List<Flight> flights = new ArrayList<>();
  private Optional<LeaderRecord> leader = Optional.empty();
  private boolean looking;

  LeaderLine(VmPorts ports, Vm vm, Owner owner) {
    this.ports = ports;
    this.vm = vm;
    this.owner = owner;
    this.window = new CallWindow(ports.clock());
  }

  /** Lets a call wait for its turn. */
  void add(Trip trip) {
    boolean crowded = vm.leaderServes() ? expectedWait().compareTo(LONGEST_WAIT) > 0 : full();
    if (crowded && !trip.mayHaveEffect()) {
      owner.crowded(trip, expectedWait());
      return;
    }
    waiting.add(trip);
    pump();
  }

  private boolean full() {
    return waiting.size() >= MOST_WAITING;
  }

  /** Returns how long a call would wait: at least as long as those before it have waited. */
  private Duration expectedWait() {
    if (window.open()) {
      return Duration.ZERO;
    }
    long now = ports.clock().millis();
    long oldest = flights.stream().mapToLong(flight -> now - flight.sentMillis).max().orElse(0);
    Duration behind = window.waitBehind(waiting.size());
    return behind.toMillis() > oldest ? behind : Duration.ofMillis(oldest);
  }

  /** Sends what may be sent. */
  void pump() {
    changed();
    if (vm.cell().isPresent()) {
      drain(trip -> owner.again(trip, Duration.ZERO));
      return;
    }
    while (!waiting.isEmpty() && vm.leaderServes() && window.open()) {
      Trip trip = waiting.poll();
      if (!trip.ended()) {
        send(trip, vm.leader().orElseThrow());
      }
    }
    look();
  }

  private void drain(Consumer<Trip> each) {
    List<Trip> all = List.copyOf(waiting);
    waiting.clear();
    all.forEach(each);
  }

  /** Calls that went to a former leader may have been taken, and are made again. */
  private void changed() {
    if (leader.equals(vm.leader())) {
      return;
    }
    leader = vm.leader();
    window.restart();
    List<Flight> former = List.copyOf(flights);
    flights.clear();
    for (Flight flight : former) {
      window.abandoned();
      flight.trip.maybeTaken = true;
      owner.again(flight.trip, Duration.ZERO);
    }
  }

  private void look() {
    if (looking || waiting.isEmpty()) {
      return;
    }
    looking = true;
    ports
        .timers()
        .after(
            LOOK,
            () -> {
              looking = false;
              expire();
              if (!vm.leaderServes()) {
                vm.probeLeader();
              }
              pump();
            });
  }

  private void expire() {
    long now = ports.clock().millis();
    List<Trip> late = waiting.stream().filter(trip -> trip.left(now) <= 0).toList();
    waiting.removeAll(late);
    late.forEach(owner::expired);
    Duration wait = expectedWait();
    if (vm.leaderServes() && wait.compareTo(LONGEST_WAIT) > 0) {
      List<Trip> stuck = waiting.stream().filter(trip -> !trip.mayHaveEffect()).toList();
      waiting.removeAll(stuck);
      stuck.forEach(trip -> owner.crowded(trip, wait));
    }
  }

  private void send(Trip trip, LeaderRecord record) {
    long now = ports.clock().millis();
    Duration slow = vm.slowAnswerTime().multipliedBy(2).plus(ATTEMPT);
    final long timeout = Math.max(1, Math.min(trip.patience(now), slow.toMillis()));
    Flight flight = new Flight(trip, now);
    flights.add(flight);
    window.sent();
    trip.open++;
    ports
        .peers()
        .call(VmId.of(record.vm()), trip.call, Duration.ofMillis(timeout))
        .whenComplete(
            (answer, error) -> ports.timers().after(Duration.ZERO, () -> arrived(flight, answer)));
  }

  private void arrived(Flight flight, Object answer) {
    flight.trip.open--;
    boolean current = flights.remove(flight);
    CellReply reply = answer instanceof CellReply given ? given : null;
    if (!current) {
      // A former leader's answer: only what it did counts, since the call is on its way again.
      if (reply != null && reply.outcome().isAuthoritative()) {
        owner.answered(flight.trip, reply);
      }
      return;
    }
    if (reply == null) {
      window.lost();
      vm.probeLeader();
      flight.trip.maybeTaken = true;
      owner.again(flight.trip, LOOK);
    } else {
      window.answered(Duration.ofMillis(ports.clock().millis() - flight.sentMillis));
      took(flight.trip, reply);
    }
    pump();
  }

  private void took(Trip trip, CellReply reply) {
    if (reply.outcome() == CellReply.Outcome.NOT_LEADING) {
      vm.leaderNotServing();
      owner.again(trip, Duration.ZERO);
      return;
    }
    vm.leaderAnswered();
    owner.answered(trip, reply);
  }

  private record Flight(Trip trip, long sentMillis) {}
}
