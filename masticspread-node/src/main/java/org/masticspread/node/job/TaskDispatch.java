package org.masticspread.node.job;

import com.codahale.metrics.Meter;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.Function;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PlaceOutcome;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.peer.PlaceTasks;
import org.masticspread.model.peer.TaskPlaced;
import org.masticspread.model.peer.TasksPlaced;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.node.member.PeerCalls;
import org.masticspread.policy.jobs.Assignment;
import org.masticspread.policy.jobs.PickResult;
import org.masticspread.state.shard.AttemptNumbers;
import org.masticspread.state.shard.JournalRecord;

/** Sends waiting tasks to rack owners and applies the outcomes. */
final class TaskDispatch {
  private static final int MAX_STARTS_PER_ROUND = 128;

  private final JobContext context;
  private final Function<JobKey, Optional<JobShard>> shards;
  private final GangStarter gangStarter;
  private final Meter started;

  TaskDispatch(
      JobContext context, Function<JobKey, Optional<JobShard>> shards, GangStarter gangStarter) {
    this.context = context;
    this.shards = shards;
    this.gangStarter = gangStarter;
    this.started = context.metrics().meter("jobs.started");
  }

  private record Target(RackId rack, ShardId shard) {}

  /** Sends the tasks that are next in the queue to rack owners. */
  void runRound() {
    if (!context.authority().mayAct()) {
      return;
    }
    PickResult picks = context.queue().pick(context.members().racks(), MAX_STARTS_PER_ROUND);
    Map<Target, List<Assignment>> groups = new HashMap<>();
    for (Assignment assignment : picks.tasks()) {
      shards
          .apply(assignment.job().key())
          .ifPresent(
              s ->
                  groups
                      .computeIfAbsent(
                          new Target(assignment.rack(), s.id()), t -> new ArrayList<>())
                      .add(assignment));
    }
    groups.forEach(
        (target, tasks) -> shards.apply(tasks.get(0).job().key()).ifPresent(s -> send(s, tasks)));
    picks.gangs().forEach(g -> shards.apply(g.job().key()).ifPresent(s -> gangStarter.begin(s, g)));
  }

  private void send(JobShard shard, List<Assignment> tasks) {
    List<Assignment> idempotent = new ArrayList<>();
    for (Assignment task : tasks) {
      if (task.job().idempotent()) {
        idempotent.add(task);
      } else {
        sendMarked(shard, task);
      }
    }
    if (!idempotent.isEmpty()) {
      place(shard, idempotent);
    }
  }

  /** Sends a task that must run at most once as soon as its start mark is durable. */
  private void sendMarked(JobShard shard, Assignment task) {
    writeStartMark(shard, task)
        .whenComplete(
            (done, thrown) -> {
              if (thrown == null) {
                place(shard, List.of(task));
              } else if (ShardJournal.isCertainlyNotWritten(thrown)) {
                context.queue().requeue(task, PlaceOutcome.STALE);
              }
            });
  }

  private CompletionStage<Void> writeStartMark(JobShard shard, Assignment task) {
    Instant now = context.clock().instant();
    JournalRecord mark = new JournalRecord.TaskStartMarked(task.task(), task.attempt(), now);
    return context
        .journal()
        .append(shard.id(), shard.epoch(), mark, now.plus(context.times().appendTimeout()));
  }

  private void place(JobShard shard, List<Assignment> tasks) {
    Instant startBefore = context.clock().instant().plus(context.times().placeWindow());
    RackId rack = tasks.get(0).rack();
    List<PlaceTask> messages = new ArrayList<>();
    for (Assignment task : tasks) {
      messages.add(task.toPlaceTask(shard.id(), startBefore));
      recordPlacement(shard, task, startBefore);
    }
    callOwner(rack, new PlaceTasks(rack, shard.epoch(), messages))
        .whenComplete((placed, thrown) -> applyOutcome(shard, tasks, placed, thrown));
  }

  private void recordPlacement(JobShard shard, Assignment task, Instant startBefore) {
    Instant latestStart = startBefore.plus(context.times().skewMargin());
    shard.put(task.task(), new Placement(task.attempt(), task.rack(), null, false, latestStart, 0));
    shard.state().recordActiveAttempt(task.task(), task.attempt(), TaskPhase.PLACING, null);
  }

  private CompletionStage<TasksPlaced> callOwner(RackId rack, PlaceTasks message) {
    Optional<VmId> owner = context.members().ownerOf(ShardId.rack(rack));
    if (owner.isEmpty()) {
      return CompletableFuture.failedFuture(new PeerException(false, "no owner of " + rack, null));
    }
    return context
        .calls()
        .call(owner.get(), message, TasksPlaced.class, context.times().placeTimeout());
  }

  private void applyOutcome(
      JobShard shard, List<Assignment> tasks, TasksPlaced placed, Throwable thrown) {
    boolean certainlyNotStarted = thrown != null && !PeerCalls.errorOf(thrown).mayHaveBeenSent();
    Map<Integer, TaskPlaced> byPosition = new HashMap<>();
    for (int i = 0; placed != null && i < placed.tasks().size(); i++) {
      byPosition.put(i, placed.tasks().get(i));
    }
    for (int i = 0; i < tasks.size(); i++) {
      Assignment task = tasks.get(i);
      TaskPlaced answer = byPosition.get(i);
      boolean matches =
          answer != null
              && answer.task().task().equals(task.task())
              && answer.task().attempt() == task.attempt();
      PlaceOutcome unanswered = certainlyNotStarted ? PlaceOutcome.NO_ROOM : PlaceOutcome.UNKNOWN;
      applyOutcome(
          shard, task, matches ? answer.outcome() : unanswered, matches ? answer.worker() : null);
    }
  }

  private void applyOutcome(
      JobShard shard, Assignment task, PlaceOutcome outcome, WorkerId worker) {
    String subject = DecisionLog.subject(task.job().key());
    String what = "task " + task.index() + " on " + task.rack() + ": " + outcome;
    context.decisions().add(subject, what, worker == null ? "best rack by digest" : "" + worker);
    switch (outcome) {
      case STARTED -> {
        started.mark();
        shard
            .placement(task.task())
            .filter(p -> p.attempt() == task.attempt())
            .ifPresent(p -> shard.put(task.task(), p.runningOn(worker)));
        shard.state().recordActiveAttempt(task.task(), task.attempt(), TaskPhase.RUNNING, worker);
        context.queue().requeue(task, outcome);
      }
      case NO_ROOM, STALE -> handleNotStarted(shard, task, outcome);
      case UNKNOWN -> context.queue().requeue(task, outcome);
      default -> throw new IllegalStateException("unexpected outcome: " + outcome);
    }
  }

  private void handleNotStarted(JobShard shard, Assignment task, PlaceOutcome outcome) {
    shard.forget(task.task(), task.attempt());
    shard.state().clearActiveAttempt(task.task(), task.attempt());
    if (task.job().idempotent()) {
      context.queue().requeue(task, outcome);
      return;
    }
    revertStartMark(shard, task, outcome);
  }

  /** Reverts a start mark after proof that the attempt did not start, and queues the task again. */
  private void revertStartMark(JobShard shard, Assignment task, PlaceOutcome outcome) {
    Instant now = context.clock().instant();
    JournalRecord record =
        new JournalRecord.TaskEnded(
            task.task(), task.attempt(), TaskPhase.WAITING, null, "not started: " + outcome, now);
    context
        .journal()
        .append(shard.id(), shard.epoch(), record, now.plus(context.times().appendTimeout()))
        .thenRun(
            () ->
                context
                    .queue()
                    .add(
                        task.job(),
                        now,
                        task.index(),
                        AttemptNumbers.next(shard.epoch(), task.attempt())));
  }
}
