package org.masticspread.node.rack;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceOutcome;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.peer.PlaceTasks;
import org.masticspread.model.peer.TaskPlaced;
import org.masticspread.model.peer.TasksPlaced;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.model.work.Urgency;

/** Starts tasks on the workers that the ledger chooses. */
final class TaskStarter {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final RackTimes times;
  private final InstantSource clock;
  private final WorkerPort workers;
  private final Predicate<RackShard> mayAct;

  TaskStarter(
      RackTimes times, InstantSource clock, WorkerPort workers, Predicate<RackShard> mayAct) {
    this.times = times;
    this.clock = clock;
    this.workers = workers;
    this.mayAct = mayAct;
  }

  TasksPlaced place(RackShard rack, PlaceTasks message) {
    Optional<List<RackShard.Chosen>> chosen = rack.book(message);
    if (chosen.isEmpty()) {
      return outcome(message, PlaceOutcome.STALE);
    }
    List<TaskPlaced> placed = new ArrayList<>();
    chosen.get().forEach(c -> placed.add(start(rack, c)));
    return new TasksPlaced(placed);
  }

  /** Answers for a rack that is not owned here; nothing was started. */
  TasksPlaced refuse(PlaceTasks message) {
    return outcome(message, PlaceOutcome.NO_ROOM);
  }

  private static TasksPlaced outcome(PlaceTasks message, PlaceOutcome outcome) {
    return new TasksPlaced(
        message.tasks().stream().map(t -> new TaskPlaced(attempt(t), outcome, null)).toList());
  }

  private static TaskAttempt attempt(PlaceTask task) {
    return new TaskAttempt(task.task(), task.attempt());
  }

  private TaskPlaced start(RackShard rack, RackShard.Chosen chosen) {
    TaskAttempt attempt = attempt(chosen.task());
    if (chosen.worker().isEmpty()) {
      makeRoom(rack, chosen.task());
      return new TaskPlaced(attempt, PlaceOutcome.NO_ROOM, null);
    }
    WorkerId worker = chosen.worker().get();
    return new TaskPlaced(attempt, startOn(rack, worker, chosen.task(), attempt), worker);
  }

  private void makeRoom(RackShard rack, PlaceTask task) {
    if (task.urgency() != Urgency.URGENT) {
      return;
    }
    rack.ledger()
        .preempt(task)
        .forEach(o -> WorkerOrders.send(workers, o.worker(), rack.epoch(), o.task(), o.order()));
  }

  /** Reads the clock before the check, as a renewal does. */
  private PlaceOutcome startOn(
      RackShard rack, WorkerId worker, PlaceTask task, TaskAttempt attempt) {
    Instant leaseUntil = clock.instant().plus(times.lease());
    if (!mayAct.test(rack)) {
      rack.ledger().startFailed(attempt, true);
      return PlaceOutcome.NO_ROOM;
    }
    rack.link(worker).granting(leaseUntil.plus(times.skewMargin()));
    StartTask start =
        new StartTask(
            task.task(),
            task.attempt(),
            task.workShard(),
            task.size(),
            leaseUntil,
            task.startBefore(),
            task.command());
    try {
      workers.start(worker, rack.epoch(), start);
      rack.ledger().started(attempt);
      return PlaceOutcome.STARTED;
    } catch (WorkerException e) {
      LOG.atWarning().log("rack: start of %s on %s failed: %s", attempt, worker, e.getMessage());
      return afterFailure(rack, attempt, e);
    }
  }

  /** A duplicate may be an earlier try of the same start, so only a report can tell. */
  private static PlaceOutcome afterFailure(RackShard rack, TaskAttempt attempt, WorkerException e) {
    boolean certain = e.isCertainlyNotDone() && e.reason() != WorkerException.Reason.DUPLICATE;
    rack.ledger().startFailed(attempt, certain);
    return certain ? PlaceOutcome.NO_ROOM : PlaceOutcome.UNKNOWN;
  }
}
