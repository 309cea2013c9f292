package org.masticspread.node.rack;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Predicate;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.ReportTasks;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.node.member.Members;
import org.masticspread.policy.placement.LedgerPosition;
import org.masticspread.policy.placement.ReconcileResult;

/**
 * Contacts the workers of a rack: seals them, renews leases, processes their reports, and detects
 * that the leases of an unreachable worker have lapsed.
 */
final class LeaseRenewal {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final RackTimes times;
  private final InstantSource clock;
  private final WorkerPort workers;
  private final TaskReports reports;
  private final Members members;
  private final Executor executor;
  private final Predicate<RackShard> mayAct;

  LeaseRenewal(
      RackTimes times,
      InstantSource clock,
      WorkerPort workers,
      TaskReports reports,
      Members members,
      Executor executor,
      Predicate<RackShard> mayAct) {
    this.times = times;
    this.clock = clock;
    this.workers = workers;
    this.reports = reports;
    this.members = members;
    this.executor = executor;
    this.mayAct = mayAct;
  }

  /** Contacts all workers of a rack in parallel, except those with a contact under way. */
  void contact(RackShard rack) {
    rack.contacts()
        .forEach(
            (worker, contact) -> executor.execute(() -> contactUnlessBusy(rack, worker, contact)));
    rack.ledger()
        .dueOrders()
        .forEach(o -> WorkerOrders.send(workers, o.worker(), rack.epoch(), o.task(), o.order()));
  }

  private void sealOrRenew(RackShard rack, WorkerId worker, WorkerContact contact) {
    try {
      if (contact.needsSeal()) {
        seal(rack, worker, contact);
      } else {
        renew(rack, worker, contact);
      }
    } catch (WorkerException e) {
      LOG.atWarning().log("rack: cannot reach worker %s: %s", worker, e.getMessage());
      contact.recordFailure();
      checkLapse(rack, worker, contact);
    }
  }

  private void contactUnlessBusy(RackShard rack, WorkerId worker, WorkerContact contact) {
    if (!contact.tryBegin()) {
      return;
    }
    try {
      sealOrRenew(rack, worker, contact);
    } finally {
      contact.end();
    }
  }

  private void seal(RackShard rack, WorkerId worker, WorkerContact contact) throws WorkerException {
    WorkerReport report = workers.seal(worker, rack.epoch());
    Map<TaskAttempt, ShardId> shards = rack.workShardsByAttempt();
    ReconcileResult changes = rack.ledger().adopt(report);
    contact.recordSeal();
    rack.updateHealth(report);
    reportEnded(rack, worker, contact, report, lapsedTasks(changes.gone(), shards));
  }

  /**
   * Renews the leases on a worker. The clock is read before the check of ownership, so that a pause
   * after the check makes the lease shorter, never longer.
   */
  private void renew(RackShard rack, WorkerId worker, WorkerContact contact)
      throws WorkerException {
    final Instant leaseUntil = clock.instant().plus(times.lease());
    if (!mayAct.test(rack)) {
      return;
    }
    LedgerPosition position = rack.ledger().position();
    final Map<TaskAttempt, ShardId> shards = rack.workShardsByAttempt();
    List<TaskAttempt> acknowledged = contact.acknowledged();
    contact.recordGrant(leaseUntil.plus(times.skewMargin()));
    WorkerReport report = workers.renew(worker, rack.epoch(), leaseUntil, acknowledged);
    contact.recordAnswer();
    contact.removeAcknowledged(acknowledged);
    ReconcileResult changes = rack.ledger().reconcile(report, position);
    rack.updateHealth(report);
    changes
        .orders()
        .forEach(o -> WorkerOrders.send(workers, o.worker(), rack.epoch(), o.task(), o.order()));
    reportEnded(rack, worker, contact, report, lapsedTasks(changes.gone(), shards));
  }

  private void checkLapse(RackShard rack, WorkerId worker, WorkerContact contact) {
    if (!members.hearsAtLeastHalf() || !contact.detectLapse(clock.instant())) {
      return;
    }
    Map<TaskAttempt, ShardId> shards = rack.workShardsByAttempt();
    List<TaskAttempt> lapsed = rack.ledger().leasesExpired(worker);
    rack.ledger().markUnreported(worker);
    LOG.atWarning().log("rack: leases on %s lapsed, %d tasks", worker, lapsed.size());
    WorkerReport emptyReport = new WorkerReport(worker, rack.epoch(), List.of());
    reportEnded(rack, worker, contact, emptyReport, lapsedTasks(lapsed, shards));
  }

  private static List<WorkerTask> lapsedTasks(
      List<TaskAttempt> attempts, Map<TaskAttempt, ShardId> shards) {
    List<WorkerTask> lost = new ArrayList<>();
    for (TaskAttempt attempt : attempts) {
      ShardId shard = shards.get(attempt);
      if (shard != null) {
        lost.add(WorkerTask.lapsed(attempt, shard));
      }
    }
    return lost;
  }

  /**
   * Reports ended and lost tasks to the owners of their work shards. The end of a task is reported
   * again until it is acknowledged.
   */
  private void reportEnded(
      RackShard rack,
      WorkerId worker,
      WorkerContact contact,
      WorkerReport report,
      List<WorkerTask> lost) {
    Map<ShardId, List<WorkerTask>> byShard = new HashMap<>();
    List<WorkerTask> ended = new ArrayList<>(lost);
    report.tasks().stream().filter(t -> t.phase() != WorkerTaskPhase.RUNNING).forEach(ended::add);
    ended.forEach(t -> byShard.computeIfAbsent(t.workShard(), s -> new ArrayList<>()).add(t));
    byShard.forEach((shard, tasks) -> send(rack, worker, contact, shard, tasks));
  }

  private void send(
      RackShard rack,
      WorkerId worker,
      WorkerContact contact,
      ShardId shard,
      List<WorkerTask> tasks) {
    reports
        .send(new ReportTasks(shard, worker, rack.rack(), tasks))
        .whenComplete(
            (durable, thrown) -> {
              if (thrown != null) {
                LOG.atFine().log("rack: report to %s failed: %s", shard, thrown.getMessage());
                return;
              }
              contact.acknowledge(durable);
            });
  }
}
