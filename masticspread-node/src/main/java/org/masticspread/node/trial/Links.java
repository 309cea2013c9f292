package org.masticspread.node.trial;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.apache.commons.rng.UniformRandomProvider;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.PeerPort;
import org.masticspread.platform.standin.VirtualTime;
import org.masticspread.wire.MessageTypes;
import org.masticspread.wire.WireFormatException;

/**
 * Hands typed messages from VM to VM after a short delay, with scripted faults for each direction.
 * Not thread-safe.
 */
final class Links {
  private static final Duration DELAY = Duration.ofMillis(1);
  private static final Duration SILENCE_FOUND = Duration.ofSeconds(2);
  private static final int LATEST_MILLIS = 300;
  private static final double FAULTY_PART = 0.4;

  private final VirtualTime time;
  private final UniformRandomProvider random;
  private final Map<VmId, Station> stations = new HashMap<>();
  private final Map<Direction, Fault> faults = new LinkedHashMap<>();
  private final Map<VmId, Set<Call>> pending = new HashMap<>();
  private long messages;
  private long bytes;

  private record Station(VmGate gate, PeerHandler handler) {}

  private record Direction(VmId from, VmId to) {}

  private record Fault(LinkFault kind, Instant until) {}

  Links(VirtualTime time, UniformRandomProvider random) {
    this.time = time;
    this.random = random;
  }

  /** Lets a VM answer from now on, in place of its former incarnation. */
  void attach(VmId vm, VmGate gate, PeerHandler handler) {
    stations.put(vm, new Station(gate, handler));
  }

  void fault(VmId from, VmId to, LinkFault kind, Duration time) {
    faults.put(new Direction(from, to), new Fault(kind, this.time.instant().plus(time)));
  }

  long messages() {
    return messages;
  }

  long bytes() {
    return bytes;
  }

  PeerPort portOf(VmId from, VmGate gate) {
    return (to, message, timeout) -> send(new Call(from, to, gate, message), timeout);
  }

  /** Lets the callers of a VM that answers no more find out. */
  void silenced(VmId vm) {
    List<Call> calls = new ArrayList<>(pending.getOrDefault(vm, Set.of()));
    time.after(SILENCE_FOUND, () -> calls.forEach(c -> c.fail(true, "silent")));
  }

  private CompletionStage<PeerMessage> send(Call call, Duration timeout) {
    if (call.gate.isEnded()) {
      return new CompletableFuture<>();
    }
    count(call.message);
    pending.computeIfAbsent(call.to, vm -> new LinkedHashSet<>()).add(call);
    time.after(timeout, () -> call.fail(call.sent, "no answer in time"));
    Station target = stations.get(call.to);
    LinkFault fault = faultOf(call.from, call.to);
    if (fault == LinkFault.CUT || target == null || target.gate().isEnded()) {
      time.after(SILENCE_FOUND, () -> call.fail(false, "no connection"));
      return call.result;
    }
    call.sent = true;
    if (fault == LinkFault.SILENT || !target.gate().answers()) {
      time.after(SILENCE_FOUND, () -> call.fail(true, "silent"));
    }
    if (fault != LinkFault.SILENT) {
      time.after(delay(fault), () -> deliver(call, target, fault));
    }
    if (fault == LinkFault.DUPLICATE) {
      time.after(delay(LinkFault.REORDERED), () -> deliver(call, target, fault));
    }
    return call.result;
  }

  private void deliver(Call call, Station target, LinkFault fault) {
    target
        .gate()
        .run(
            () ->
                target
                    .handler()
                    .handle(call.from, call.message)
                    .whenComplete(
                        (answer, thrown) -> answered(call, target, fault, answer, thrown)));
  }

  private void answered(
      Call call, Station target, LinkFault fault, PeerMessage answer, Throwable thrown) {
    LinkFault back = faultOf(call.to, call.from);
    boolean vanishes =
        target.gate().isEnded()
            || fault == LinkFault.ANSWER_LOST
            || back == LinkFault.SILENT
            || back == LinkFault.CUT;
    if (vanishes) {
      return;
    }
    if (thrown != null) {
      time.after(DELAY, () -> call.fail(true, "fault: " + thrown));
      return;
    }
    count(answer);
    time.after(delay(back), () -> call.take(answer));
  }

  private LinkFault faultOf(VmId from, VmId to) {
    Fault fault = faults.get(new Direction(from, to));
    if (fault == null || !time.instant().isBefore(fault.until())) {
      return null;
    }
    boolean always = fault.kind() == LinkFault.CUT || fault.kind() == LinkFault.SILENT;
    return always || random.nextDouble() < FAULTY_PART ? fault.kind() : null;
  }

  private Duration delay(LinkFault fault) {
    return fault == LinkFault.REORDERED
        ? DELAY.plusMillis(random.nextInt(LATEST_MILLIS))
        : DELAY.plusNanos(random.nextInt((int) DELAY.toNanos()));
  }

  private void count(PeerMessage message) {
    messages++;
    try {
      bytes += MessageTypes.write(message).length;
    } catch (WireFormatException e) {
      throw new IllegalStateException("links: a message has no wire form", e);
    }
  }

  private final class Call {
    private final VmId from;
    private final VmId to;
    private final VmGate gate;
    private final PeerMessage message;
    private final CompletableFuture<PeerMessage> result = new CompletableFuture<>();
    private boolean sent;

    Call(VmId from, VmId to, VmGate gate, PeerMessage message) {
      this.from = from;
      this.to = to;
      this.gate = gate;
      this.message = message;
    }

    void take(PeerMessage answer) {
      pending.get(to).remove(this);
      gate.run(() -> result.complete(answer));
    }

    void fail(boolean sent, String text) {
      if (result.isDone()) {
        return;
      }
      pending.get(to).remove(this);
      PeerException error = new PeerException(sent, "call to " + to + ": " + text, null);
      gate.run(() -> result.completeExceptionally(error));
    }
  }
}
