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
 * Simulated network between the VMs of a trial: delivers typed messages after a short delay, with
 * scripted faults for each direction. Not thread-safe.
 */
final class TrialNetwork {
  private static final Duration BASE_DELAY = Duration.ofMillis(1);
  private static final Duration SILENCE_DETECTION_TIME = Duration.ofSeconds(2);
  private static final int MAX_REORDER_DELAY_MILLIS = 300;
  private static final double FAULT_PROBABILITY = 0.4;

  private final VirtualTime time;
  private final UniformRandomProvider random;
  private final Map<VmId, Receiver> receivers = new HashMap<>();
  private final Map<Direction, Fault> faults = new LinkedHashMap<>();
  private final Map<VmId, Set<Call>> pending = new HashMap<>();
  private long messages;
  private long bytes;

  private record Receiver(VmGate gate, PeerHandler handler) {}

  private record Direction(VmId from, VmId to) {}

  private record Fault(LinkFault kind, Instant until) {}

  TrialNetwork(VirtualTime time, UniformRandomProvider random) {
    this.time = time;
    this.random = random;
  }

  /** Connects a VM in place of its former incarnation. */
  void connect(VmId vm, VmGate gate, PeerHandler handler) {
    receivers.put(vm, new Receiver(gate, handler));
  }

  void addFault(VmId from, VmId to, LinkFault kind, Duration duration) {
    faults.put(new Direction(from, to), new Fault(kind, this.time.instant().plus(duration)));
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

  /**
   * Fails the pending calls to a VM that no longer answers, after the time that heartbeats need to
   * detect it.
   */
  void failPendingCalls(VmId vm) {
    List<Call> calls = new ArrayList<>(pending.getOrDefault(vm, Set.of()));
    time.after(SILENCE_DETECTION_TIME, () -> calls.forEach(c -> c.fail(true, "silent")));
  }

  private CompletionStage<PeerMessage> send(Call call, Duration timeout) {
    if (call.gate.isEnded()) {
      return new CompletableFuture<>();
    }
    count(call.message);
    pending.computeIfAbsent(call.to, vm -> new LinkedHashSet<>()).add(call);
    time.after(timeout, () -> call.fail(call.sent, "no answer in time"));
    Receiver target = receivers.get(call.to);
    LinkFault fault = faultOf(call.from, call.to);
    if (fault == LinkFault.CUT || target == null || target.gate().isEnded()) {
      time.after(SILENCE_DETECTION_TIME, () -> call.fail(false, "no connection"));
      return call.result;
    }
    call.sent = true;
    if (fault == LinkFault.SILENT || !target.gate().isResponsive()) {
      time.after(SILENCE_DETECTION_TIME, () -> call.fail(true, "silent"));
    }
    if (fault != LinkFault.SILENT) {
      time.after(delay(fault), () -> deliver(call, target, fault));
    }
    if (fault == LinkFault.DUPLICATE) {
      time.after(delay(LinkFault.REORDERED), () -> deliver(call, target, fault));
    }
    return call.result;
  }

  private void deliver(Call call, Receiver target, LinkFault fault) {
    target
        .gate()
        .run(
            () ->
                target
                    .handler()
                    .handle(call.from, call.message)
                    .whenComplete(
                        (answer, thrown) -> handleAnswer(call, target, fault, answer, thrown)));
  }

  private void handleAnswer(
      Call call, Receiver target, LinkFault fault, PeerMessage answer, Throwable thrown) {
    LinkFault returnFault = faultOf(call.to, call.from);
    boolean answerLost =
        target.gate().isEnded()
            || fault == LinkFault.ANSWER_LOST
            || returnFault == LinkFault.SILENT
            || returnFault == LinkFault.CUT;
    if (answerLost) {
      return;
    }
    if (thrown != null) {
      time.after(BASE_DELAY, () -> call.fail(true, "unexpected exception: " + thrown));
      return;
    }
    count(answer);
    time.after(delay(returnFault), () -> call.complete(answer));
  }

  private LinkFault faultOf(VmId from, VmId to) {
    Fault fault = faults.get(new Direction(from, to));
    if (fault == null || !time.instant().isBefore(fault.until())) {
      return null;
    }
    boolean permanent = fault.kind() == LinkFault.CUT || fault.kind() == LinkFault.SILENT;
    return permanent || random.nextDouble() < FAULT_PROBABILITY ? fault.kind() : null;
  }

  private Duration delay(LinkFault fault) {
    return fault == LinkFault.REORDERED
        ? BASE_DELAY.plusMillis(random.nextInt(MAX_REORDER_DELAY_MILLIS))
        : BASE_DELAY.plusNanos(random.nextInt((int) BASE_DELAY.toNanos()));
  }

  private void count(PeerMessage message) {
    messages++;
    try {
      bytes += MessageTypes.write(message).length;
    } catch (WireFormatException e) {
      throw new IllegalStateException("trial: a message has no wire format", e);
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

    void complete(PeerMessage answer) {
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
