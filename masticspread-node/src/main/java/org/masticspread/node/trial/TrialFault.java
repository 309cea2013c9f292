package org.masticspread.node.trial;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.platform.standin.ExecutorSpec;
import org.masticspread.platform.standin.FaultRule;

/** Faults that a trial can meet; each strikes one VM, its links, or a part of the platform. */
public enum TrialFault {
  /** A VM dies and does not come back. */
  VM_KILLED(TrialCell::kill),
  /** A VM stands still for longer than its session and its leases. */
  VM_PAUSED((cell, vm) -> cell.pause(vm, Times.LONG)),
  /** A VM dies and starts at once as a new incarnation. */
  VM_RESTARTED(TrialCell::restart),
  /** A VM is stopped in order. */
  VM_STOPPED(TrialCell::stop),
  /** The table service and the object store can't be reached. */
  STORE_DOWN(TrialFault::storeDown),
  /** A part of the calls to the table service take more than a second. */
  STORE_SLOW(TrialFault::storeSlow),
  /** A part of the commits take effect and their answers are lost. */
  STORE_ANSWER_LOST(TrialFault::storeAnswerLost),
  /** A part of the calls to the table service fail without effect, which callers can't know. */
  STORE_ERROR(TrialFault::storeError),
  /** The membership list shows what was true long ago. */
  MEMBERSHIP_STALE(TrialFault::membershipStale),
  /** A VM can't open connections to one peer, nor the peer to it. */
  LINK_CUT((cell, vm) -> pair(cell, vm, LinkFault.CUT)),
  /** Messages between a VM and one peer vanish. */
  LINK_SILENT((cell, vm) -> pair(cell, vm, LinkFault.SILENT)),
  /** A VM is cut off from all peers but not from the platform. */
  VM_ISOLATED((cell, vm) -> all(cell, vm, LinkFault.SILENT)),
  /** Messages to and from a VM arrive twice. */
  MESSAGE_DUPLICATED((cell, vm) -> all(cell, vm, LinkFault.DUPLICATE)),
  /** Messages to and from a VM overtake each other. */
  MESSAGE_REORDERED((cell, vm) -> all(cell, vm, LinkFault.REORDERED)),
  /** Answers to and from a VM vanish. */
  MESSAGE_ANSWER_LOST((cell, vm) -> all(cell, vm, LinkFault.ANSWER_LOST)),
  /** A worker dies and comes back empty. */
  WORKER_KILLED(TrialFault::workerKilled),
  /** A worker can't be reached while its tasks go on. */
  WORKER_UNREACHABLE(TrialFault::workerUnreachable),
  /** A worker obeys and its answers are lost. */
  WORKER_ANSWER_LOST((cell, vm) -> onWorker(cell, vm).answerLost()),
  /** An endpoint takes requests in and never answers. */
  ENDPOINT_SILENT((cell, vm) -> onEndpoint(cell, vm).silent(Times.SHORT)),
  /** Answers of an endpoint end in the middle. */
  ENDPOINT_CUT((cell, vm) -> onEndpoint(cell, vm).cut()),
  /** An endpoint answers with the answers of others. */
  ENDPOINT_FOREIGN((cell, vm) -> onEndpoint(cell, vm).foreign()),
  /** An endpoint has fewer free slots than it was configured with. */
  ENDPOINT_BUSY(TrialFault::endpointBusy),
  /** An endpoint is marked as leaving. */
  ENDPOINT_LEAVING(TrialFault::endpointLeaving);

  /** How long faults last; the longer ones go past the TTL of sessions and the lease of tasks. */
  private static final class Times {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final Duration SHORT = Duration.ofSeconds(10);
    private static final Duration SLOW = Duration.ofMillis(1200);
  }

  /** Lets a fault begin. */
  @FunctionalInterface
  private interface Strike {
    void at(TrialCell cell, int vm);
  }

  private final Strike strike;

  TrialFault(Strike strike) {
    this.strike = strike;
  }

  /**
   * Lets the fault begin now.
   *
   * @param cell the cell
   * @param vm the number of the VM that it strikes; workers and endpoints are chosen by it too
   */
  public void strike(TrialCell cell, int vm) {
    strike.at(cell, vm);
  }

  /**
   * Tells whether the struck VM is gone afterwards.
   *
   * @return whether it does not come back by itself
   */
  public boolean endsVm() {
    return this == VM_KILLED || this == VM_STOPPED;
  }

  private static FaultRule window(TrialCell cell, String calls, Duration time) {
    Instant now = cell.now();
    return cell.faults().on(calls).between(now, now.plus(time));
  }

  private static FaultRule onWorker(TrialCell cell, int vm) {
    Instant now = cell.now();
    String worker = "/worker-" + vm;
    return cell.faults()
        .where(call -> call.startsWith("worker.") && call.endsWith(worker))
        .between(now, now.plus(Times.LONG));
  }

  private static FaultRule onEndpoint(TrialCell cell, int vm) {
    Instant now = cell.now();
    String call = "endpoint.call/endpoint-" + vm;
    return cell.faults().where(call::equals).between(now, now.plus(Times.SHORT));
  }

  private static void pair(TrialCell cell, int vm, LinkFault fault) {
    int other = vm % cell.size() + 1;
    cell.link(vm, other, fault, Times.LONG);
    cell.link(other, vm, fault, Times.LONG);
  }

  private static void all(TrialCell cell, int vm, LinkFault fault) {
    for (int other = 1; other <= cell.size(); other++) {
      if (other != vm) {
        cell.link(vm, other, fault, Times.LONG);
        cell.link(other, vm, fault, Times.LONG);
      }
    }
  }

  private static void storeDown(TrialCell cell, int vm) {
    window(cell, "table", Times.LONG).down();
    window(cell, "objects", Times.LONG).down();
  }

  private static void workerKilled(TrialCell cell, int vm) {
    WorkerId worker = WorkerId.of("worker-" + vm);
    cell.platform().workers().kill(worker);
    cell.later(Times.LONG, () -> cell.platform().workers().revive(worker));
  }

  private static void endpointBusy(TrialCell cell, int vm) {
    EndpointId endpoint = EndpointId.of("endpoint-" + vm);
    cell.platform().endpoints().add(endpoint, new ExecutorSpec(1, 32, 1));
    cell.later(
        Times.SHORT, () -> cell.platform().endpoints().add(endpoint, new ExecutorSpec(4, 32, 1)));
  }

  private static void storeSlow(TrialCell cell, int vm) {
    window(cell, "table", Times.SHORT).withChance(0.1).slow(Times.SLOW);
  }

  private static void storeAnswerLost(TrialCell cell, int vm) {
    window(cell, "table.commit", Times.SHORT).withChance(0.3).answerLost();
  }

  private static void storeError(TrialCell cell, int vm) {
    window(cell, "table", Times.SHORT).withChance(0.3).errorBeforeEffect();
  }

  private static void membershipStale(TrialCell cell, int vm) {
    window(cell, "membership.read", Times.LONG).stale(Times.LONG);
  }

  private static void workerUnreachable(TrialCell cell, int vm) {
    onWorker(cell, vm).down();
  }

  private static void endpointLeaving(TrialCell cell, int vm) {
    cell.platform().membership().leave(EndpointId.of("endpoint-" + vm));
  }
}
