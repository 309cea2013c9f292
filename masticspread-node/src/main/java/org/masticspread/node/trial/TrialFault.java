package org.masticspread.node.trial;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.platform.standin.ExecutorSpec;
import org.masticspread.platform.standin.FaultRule;

/**
 * Faults that a trial can inject. Each fault affects one VM, its links, or a part of the platform.
 */
public enum TrialFault {
  /** A VM is killed and does not restart. */
  VM_KILLED(TrialCell::kill),
  /** A VM is paused for longer than the TTL of its session and its leases. */
  VM_PAUSED((cell, vm) -> cell.pause(vm, Durations.LONG)),
  /** A VM is killed and restarts at once as a new incarnation. */
  VM_RESTARTED(TrialCell::restart),
  /** A VM is stopped gracefully. */
  VM_STOPPED(TrialCell::stop),
  /** The table service and the object store are unavailable. */
  STORE_DOWN(TrialFault::storeDown),
  /** Some calls to the table service take more than a second. */
  STORE_SLOW(TrialFault::storeSlow),
  /** Some commits take effect but their answers are lost. */
  STORE_ANSWER_LOST(TrialFault::storeAnswerLost),
  /** Some calls to the table service fail without effect, which callers cannot know. */
  STORE_ERROR(TrialFault::storeError),
  /** The membership list is out of date. */
  MEMBERSHIP_STALE(TrialFault::membershipStale),
  /** A VM and one peer cannot open connections to each other. */
  LINK_CUT((cell, vm) -> faultWithOnePeer(cell, vm, LinkFault.CUT)),
  /** Messages between a VM and one peer are lost. */
  LINK_SILENT((cell, vm) -> faultWithOnePeer(cell, vm, LinkFault.SILENT)),
  /** A VM is cut off from all peers but not from the platform. */
  VM_ISOLATED((cell, vm) -> faultWithAllPeers(cell, vm, LinkFault.SILENT)),
  /** Messages to and from a VM arrive twice. */
  MESSAGE_DUPLICATED((cell, vm) -> faultWithAllPeers(cell, vm, LinkFault.DUPLICATE)),
  /** Messages to and from a VM arrive out of order. */
  MESSAGE_REORDERED((cell, vm) -> faultWithAllPeers(cell, vm, LinkFault.REORDERED)),
  /** Answers to and from a VM are lost. */
  MESSAGE_ANSWER_LOST((cell, vm) -> faultWithAllPeers(cell, vm, LinkFault.ANSWER_LOST)),
  /** A worker is killed and restarts without tasks. */
  WORKER_KILLED(TrialFault::workerKilled),
  /** A worker is unreachable while its tasks continue. */
  WORKER_UNREACHABLE(TrialFault::workerUnreachable),
  /** A worker executes orders but its answers are lost. */
  WORKER_ANSWER_LOST((cell, vm) -> onWorker(cell, vm).answerLost()),
  /** An endpoint accepts requests and never answers. */
  ENDPOINT_SILENT((cell, vm) -> onEndpoint(cell, vm).silent(Durations.SHORT)),
  /** Answers of an endpoint are truncated. */
  ENDPOINT_CUT((cell, vm) -> onEndpoint(cell, vm).cut()),
  /** An endpoint returns the answers of other requests. */
  ENDPOINT_FOREIGN((cell, vm) -> onEndpoint(cell, vm).foreign()),
  /** An endpoint has fewer free slots than it was configured with. */
  ENDPOINT_BUSY(TrialFault::endpointBusy),
  /** An endpoint is marked as leaving. */
  ENDPOINT_LEAVING(TrialFault::endpointLeaving);

  /** Durations of faults. LONG exceeds the TTL of sessions and the lease of tasks. */
  private static final class Durations {
    private static final Duration LONG = Duration.ofSeconds(20);
    private static final Duration SHORT = Duration.ofSeconds(10);
    private static final Duration SLOW = Duration.ofMillis(1200);
  }

  /** Injects a fault. */
  @FunctionalInterface
  private interface Injection {
    void inject(TrialCell cell, int vm);
  }

  private final Injection injection;

  TrialFault(Injection injection) {
    this.injection = injection;
  }

  /**
   * Injects the fault now.
   *
   * @param cell the cell
   * @param vm the number of the affected VM; it also selects the affected worker or endpoint
   */
  public void strike(TrialCell cell, int vm) {
    injection.inject(cell, vm);
  }

  /**
   * Returns whether the fault ends the affected VM.
   *
   * @return whether the VM does not continue or restart by itself
   */
  public boolean endsVm() {
    return this == VM_KILLED || this == VM_STOPPED;
  }

  private static FaultRule ruleFor(TrialCell cell, String calls, Duration time) {
    Instant now = cell.now();
    return cell.faults().on(calls).between(now, now.plus(time));
  }

  private static FaultRule onWorker(TrialCell cell, int vm) {
    Instant now = cell.now();
    String worker = "/worker-" + vm;
    return cell.faults()
        .where(call -> call.startsWith("worker.") && call.endsWith(worker))
        .between(now, now.plus(Durations.LONG));
  }

  private static FaultRule onEndpoint(TrialCell cell, int vm) {
    Instant now = cell.now();
    String call = "endpoint.call/endpoint-" + vm;
    return cell.faults().where(call::equals).between(now, now.plus(Durations.SHORT));
  }

  private static void faultWithOnePeer(TrialCell cell, int vm, LinkFault fault) {
    int other = vm % cell.size() + 1;
    cell.link(vm, other, fault, Durations.LONG);
    cell.link(other, vm, fault, Durations.LONG);
  }

  private static void faultWithAllPeers(TrialCell cell, int vm, LinkFault fault) {
    for (int other = 1; other <= cell.size(); other++) {
      if (other != vm) {
        cell.link(vm, other, fault, Durations.LONG);
        cell.link(other, vm, fault, Durations.LONG);
      }
    }
  }

  private static void storeDown(TrialCell cell, int vm) {
    ruleFor(cell, "table", Durations.LONG).down();
    ruleFor(cell, "objects", Durations.LONG).down();
  }

  private static void workerKilled(TrialCell cell, int vm) {
    WorkerId worker = WorkerId.of("worker-" + vm);
    cell.platform().workers().kill(worker);
    cell.later(Durations.LONG, () -> cell.platform().workers().revive(worker));
  }

  private static void endpointBusy(TrialCell cell, int vm) {
    EndpointId endpoint = EndpointId.of("endpoint-" + vm);
    cell.platform().endpoints().add(endpoint, new ExecutorSpec(1, 32, 1));
    cell.later(
        Durations.SHORT,
        () -> cell.platform().endpoints().add(endpoint, new ExecutorSpec(4, 32, 1)));
  }

  private static void storeSlow(TrialCell cell, int vm) {
    ruleFor(cell, "table", Durations.SHORT).withChance(0.1).slow(Durations.SLOW);
  }

  private static void storeAnswerLost(TrialCell cell, int vm) {
    ruleFor(cell, "table.commit", Durations.SHORT).withChance(0.3).answerLost();
  }

  private static void storeError(TrialCell cell, int vm) {
    ruleFor(cell, "table", Durations.SHORT).withChance(0.3).errorBeforeEffect();
  }

  private static void membershipStale(TrialCell cell, int vm) {
    ruleFor(cell, "membership.read", Durations.LONG).stale(Durations.LONG);
  }

  private static void workerUnreachable(TrialCell cell, int vm) {
    onWorker(cell, vm).down();
  }

  private static void endpointLeaving(TrialCell cell, int vm) {
    cell.platform().membership().leave(EndpointId.of("endpoint-" + vm));
  }
}
