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
    Optional<List<RackShard.Choice>> choices = rack.book(message);
    if (choices.isEmpty()) {
      return allWithOutcome(message, PlaceOutcome.STALE);
    }
    List<TaskPlaced> placed = new ArrayList<>();
    choices.get().forEach(c -> placed.add(start(rack, c)));
    return new TasksPlaced(placed);
  }

  /** Answers a call for a rack that this VM does not own: no task was started. */
  TasksPlaced refuse(PlaceTasks message) {
    return allWithOutcome(message, PlaceOutcome.NO_ROOM);
  }

  private static TasksPlaced allWithOutcome(PlaceTasks message, PlaceOutcome outcome) {
    return new TasksPlaced(
        message.tasks().stream().map(t -> new TaskPlaced(attempt(t), outcome, null)).toList());
  }

  private static TaskAttempt attempt(PlaceTask task) {
    return new TaskAttempt(task.task(), task.attempt());
  }

  private TaskPlaced start(RackShard rack, RackShard.Choice choice) {
    TaskAttempt attempt = attempt(choice.task());
    if (choice.worker().isEmpty()) {
      preemptFor(rack, choice.task());
      return new TaskPlaced(attempt, PlaceOutcome.NO_ROOM, null);
    }
    WorkerId worker = choice.worker().get();
    return new TaskPlaced(attempt, startOn(rack, worker, choice.task(), attempt), worker);
  }

  private void preemptFor(RackShard rack, PlaceTask task) {
    if (task.urgency() != Urgency.URGENT) {
      return;
    }
    rack.ledger()
        .preempt(task)
        .forEach(o -> WorkerOrders.send(workers, o.worker(), rack.epoch(), o.task(), o.order()));
  }

  /**
   * Starts a task on a worker. The clock is read before the check of ownership, so that a pause
   * after the check makes the lease shorter, never longer.
   */
  private PlaceOutcome startOn(
      RackShard rack, WorkerId worker, PlaceTask task, TaskAttempt attempt) {
    Instant leaseUntil = clock.instant().plus(times.lease());
    if (!mayAct.test(rack)) {
      rack.ledger().startFailed(attempt, true);
      return PlaceOutcome.NO_ROOM;
    }
    rack.contact(worker).recordGrant(leaseUntil.plus(times.skewMargin()));
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
      return outcomeOfFailure(rack, attempt, e);
    }
  }

  /**
   * Returns the outcome of a failed start. A duplicate may stem from an earlier attempt of the same
   * start, so its outcome is unknown until a report arrives.
   */
  private static PlaceOutcome outcomeOfFailure(
      RackShard rack, TaskAttempt attempt, WorkerException e) {
    boolean certainlyNotStarted =
        e.isCertainlyNotDone() && e.reason() != WorkerException.Reason.DUPLICATE;
    rack.ledger().startFailed(attempt, certainlyNotStarted);
    return certainlyNotStarted ? PlaceOutcome.NO_ROOM : PlaceOutcome.UNKNOWN;
  }
}
