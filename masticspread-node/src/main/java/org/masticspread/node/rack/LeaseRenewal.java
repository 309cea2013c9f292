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
 * Keeps contact with the workers of a rack: seals, renews leases, takes reports, and finds that the
 * leases of a silent worker have lapsed.
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

  /** Contacts each worker of a rack that is not being contacted, side by side. */
  void contact(RackShard rack) {
    rack.links()
        .forEach((worker, link) -> executor.execute(() -> contactAlone(rack, worker, link)));
    rack.ledger()
        .dueOrders()
        .forEach(o -> WorkerOrders.send(workers, o.worker(), rack.epoch(), o.task(), o.order()));
  }

  private void contact(RackShard rack, WorkerId worker, WorkerLink link) {
    try {
      if (link.needsSeal()) {
        seal(rack, worker, link);
      } else {
        renew(rack, worker, link);
      }
    } catch (WorkerException e) {
      LOG.atWarning().log("rack: no contact with %s: %s", worker, e.getMessage());
      link.failed();
      lapse(rack, worker, link);
    }
  }

  private void contactAlone(RackShard rack, WorkerId worker, WorkerLink link) {
    if (!link.enter()) {
      return;
    }
    try {
      contact(rack, worker, link);
    } finally {
      link.leave();
    }
  }

  private void seal(RackShard rack, WorkerId worker, WorkerLink link) throws WorkerException {
    WorkerReport report = workers.seal(worker, rack.epoch());
    Map<TaskAttempt, ShardId> shards = rack.shardsOfBooked();
    ReconcileResult changes = rack.ledger().adopt(report);
    link.sealed();
    rack.learn(report);
    tell(rack, worker, link, report, lost(changes.gone(), shards));
  }

  /** Reads the clock before the check: a pause after it makes the lease shorter, never longer. */
  private void renew(RackShard rack, WorkerId worker, WorkerLink link) throws WorkerException {
    final Instant leaseUntil = clock.instant().plus(times.lease());
    if (!mayAct.test(rack)) {
      return;
    }
    LedgerPosition position = rack.ledger().position();
    final Map<TaskAttempt, ShardId> shards = rack.shardsOfBooked();
    List<TaskAttempt> acknowledged = link.acknowledged();
    link.granting(leaseUntil.plus(times.skewMargin()));
    WorkerReport report = workers.renew(worker, rack.epoch(), leaseUntil, acknowledged);
    link.answered();
    link.forget(acknowledged);
    ReconcileResult changes = rack.ledger().reconcile(report, position);
    rack.learn(report);
    changes
        .orders()
        .forEach(o -> WorkerOrders.send(workers, o.worker(), rack.epoch(), o.task(), o.order()));
    tell(rack, worker, link, report, lost(changes.gone(), shards));
  }

  private void lapse(RackShard rack, WorkerId worker, WorkerLink link) {
    if (!members.hearsHalf() || !link.takeLapse(clock.instant())) {
      return;
    }
    Map<TaskAttempt, ShardId> shards = rack.shardsOfBooked();
    List<TaskAttempt> lapsed = rack.ledger().leasesExpired(worker);
    rack.ledger().markUnreported(worker);
    LOG.atWarning().log("rack: leases on %s lapsed, %d tasks", worker, lapsed.size());
    WorkerReport nothing = new WorkerReport(worker, rack.epoch(), List.of());
    tell(rack, worker, link, nothing, lost(lapsed, shards));
  }

  private static List<WorkerTask> lost(
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

  /** Tells shard owners of ended and lost tasks; an ended one is told until it is acknowledged. */
  private void tell(
      RackShard rack,
      WorkerId worker,
      WorkerLink link,
      WorkerReport report,
      List<WorkerTask> lost) {
    Map<ShardId, List<WorkerTask>> byShard = new HashMap<>();
    List<WorkerTask> ended = new ArrayList<>(lost);
    report.tasks().stream().filter(t -> t.phase() != WorkerTaskPhase.RUNNING).forEach(ended::add);
    ended.forEach(t -> byShard.computeIfAbsent(t.workShard(), s -> new ArrayList<>()).add(t));
    byShard.forEach((shard, tasks) -> send(rack, worker, link, shard, tasks));
  }

  private void send(
      RackShard rack, WorkerId worker, WorkerLink link, ShardId shard, List<WorkerTask> tasks) {
    reports
        .send(new ReportTasks(shard, worker, rack.rack(), tasks))
        .whenComplete(
            (known, thrown) -> {
              if (thrown != null) {
                LOG.atFine().log("rack: report for %s not taken: %s", shard, thrown.getMessage());
                return;
              }
              link.acknowledge(known);
            });
  }
}
