package org.masticspread.node.job;

import com.google.common.flogger.FluentLogger;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Acknowledged;
import org.masticspread.model.peer.GangReserved;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.PlaceOutcome;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.peer.PlaceTasks;
import org.masticspread.model.peer.ReleaseGang;
import org.masticspread.model.peer.ReserveGang;
import org.masticspread.model.peer.TaskPlaced;
import org.masticspread.model.peer.TasksPlaced;
import org.masticspread.model.work.TaskPhase;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.node.member.PeerCalls;
import org.masticspread.policy.gang.GangCommand;
import org.masticspread.policy.gang.GangPlanner;
import org.masticspread.policy.gang.GangTimes;
import org.masticspread.policy.jobs.Assignment;
import org.masticspread.policy.jobs.GangStart;
import org.masticspread.state.shard.AttemptNumbers;
import org.masticspread.state.shard.JournalRecord;

/** Starts gangs: reserves capacity on racks, then starts all tasks of a gang together. */
final class GangStarter {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final JobContext context;
  private final TaskStopper stopper;
  private final Map<JobKey, Run> runs = new ConcurrentHashMap<>();

  GangStarter(JobContext context, TaskStopper stopper) {
    this.context = context;
    this.stopper = stopper;
  }

  /** Begins the reservations for a gang. */
  void begin(JobShard shard, GangStart gang) {
    JobKey key = gang.job().key();
    Instant submitted =
        shard.state().job(key).map(j -> j.acceptedAt()).orElse(context.clock().instant());
    GangPlanner planner =
        new GangPlanner(
            gang.attempts().size(), gang.size(), submitted, GangTimes.DEFAULT, key.hashCode());
    runs.put(key, new Run(shard, gang, planner));
    tick();
  }

  /** Advances the planner of every gang to the present time. */
  void tick() {
    if (!context.authority().mayAct()) {
      return;
    }
    runs.values().forEach(Run::tick);
  }

  /** Cancels a gang that has not started and releases its reservations. */
  void cancel(JobKey job) {
    Run run = runs.remove(job);
    if (run != null) {
      run.execute(run.planner.cancel());
    }
  }

  private final class Run {
    private final JobShard shard;
    private final GangStart gang;
    private final GangPlanner planner;

    Run(JobShard shard, GangStart gang, GangPlanner planner) {
      this.shard = shard;
      this.gang = gang;
      this.planner = planner;
    }

    void tick() {
      Instant now = context.clock().instant();
      if (planner.phase() == GangPlanner.Phase.IDLE) {
        execute(planner.begin(now, context.members().racks()));
        return;
      }
      execute(planner.tick(now));
    }

    private void execute(List<GangCommand> commands) {
      for (GangCommand command : commands) {
        if (command instanceof GangCommand.Reserve reserve) {
          reserve(reserve);
        } else if (command instanceof GangCommand.Release release) {
          release(release);
        } else if (command instanceof GangCommand.Start start) {
          markAndStart(start);
        }
      }
    }

    private void reserve(GangCommand.Reserve command) {
      ReserveGang message =
          new ReserveGang(
              command.rack(),
              gang.job().key(),
              command.attempt(),
              gang.size(),
              command.wanted(),
              command.ttl());
      call(command.rack(), message, GangReserved.class)
          .thenAccept(
              answer ->
                  execute(
                      planner.reserved(
                          command.rack(),
                          command.attempt(),
                          answer.reserved(),
                          context.clock().instant())))
          .exceptionally(
              thrown -> {
                LOG.atFine().log("jobs: reservation on %s failed: %s", command.rack(), thrown);
                return null;
              });
    }

    private void release(GangCommand.Release command) {
      ReleaseGang message = new ReleaseGang(command.rack(), gang.job().key(), command.attempt());
      call(command.rack(), message, Acknowledged.class)
          .exceptionally(
              thrown -> {
                LOG.atFine().log(
                    "jobs: release of a reservation on %s failed: %s", command.rack(), thrown);
                return null;
              });
    }

    /** Starts the gang; if it must run at most once, its start marks are made durable first. */
    private void markAndStart(GangCommand.Start command) {
      if (gang.job().idempotent()) {
        start(command);
        return;
      }
      Instant now = context.clock().instant();
      List<CompletableFuture<Void>> marks = new ArrayList<>();
      gang.attempts()
          .forEach(
              (index, attempt) ->
                  marks.add(append(new JournalRecord.TaskStartMarked(key(index), attempt, now))));
      CompletableFuture.allOf(marks.toArray(CompletableFuture[]::new))
          .whenComplete(
              (done, thrown) -> {
                if (thrown == null) {
                  start(command);
                } else {
                  abortStart(Map.of(), PlaceOutcome.NO_ROOM);
                }
              });
    }

    private CompletableFuture<Void> append(JournalRecord record) {
      Instant deadline = context.clock().instant().plus(context.times().appendTimeout());
      return context
          .journal()
          .append(shard.id(), shard.epoch(), record, deadline)
          .toCompletableFuture();
    }

    private TaskKey key(int index) {
      return new TaskKey(gang.job().key(), index);
    }

    private void start(GangCommand.Start command) {
      List<Integer> remaining = new ArrayList<>(gang.attempts().keySet());
      List<CompletableFuture<Map<Integer, TaskPlaced>>> answers = new ArrayList<>();
      command
          .tasksByRack()
          .forEach(
              (rack, count) -> {
                List<Integer> share = remaining.subList(0, Math.min(count, remaining.size()));
                answers.add(startOn(rack, List.copyOf(share)));
                share.clear();
              });
      CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
          .thenRun(() -> finishStart(answers));
    }

    private CompletableFuture<Map<Integer, TaskPlaced>> startOn(
        RackId rack, List<Integer> indexes) {
      Instant startBefore = context.clock().instant().plus(context.times().placeWindow());
      Instant latestStart = startBefore.plus(context.times().skewMargin());
      List<PlaceTask> tasks = new ArrayList<>();
      for (int index : indexes) {
        int attempt = gang.attempts().get(index);
        tasks.add(
            new Assignment(gang.job(), index, attempt, gang.size(), rack)
                .toPlaceTask(shard.id(), startBefore));
        shard.put(key(index), new Placement(attempt, rack, null, false, latestStart, 0));
        shard.state().recordActiveAttempt(key(index), attempt, TaskPhase.PLACING, null);
      }
      return call(rack, new PlaceTasks(rack, shard.epoch(), tasks), TasksPlaced.class)
          .handle((placed, thrown) -> outcomes(indexes, placed, thrown))
          .toCompletableFuture();
    }

    private Map<Integer, TaskPlaced> outcomes(
        List<Integer> indexes, TasksPlaced placed, Throwable thrown) {
      boolean certainlyNotStarted = thrown != null && !PeerCalls.errorOf(thrown).mayHaveBeenSent();
      Map<Integer, TaskPlaced> outcomes = new HashMap<>();
      for (int index : indexes) {
        outcomes.put(
            index,
            new TaskPlaced(
                null, certainlyNotStarted ? PlaceOutcome.NO_ROOM : PlaceOutcome.UNKNOWN, null));
      }
      if (placed != null) {
        placed.tasks().forEach(t -> outcomes.put(t.task().task().index(), t));
      }
      return outcomes;
    }

    private void finishStart(List<CompletableFuture<Map<Integer, TaskPlaced>>> answers) {
      Map<Integer, TaskPlaced> all = new HashMap<>();
      answers.forEach(a -> all.putAll(a.join()));
      all.forEach(this::applyOutcome);
      boolean failed =
          all.values().stream()
              .anyMatch(
                  t -> t.outcome() == PlaceOutcome.NO_ROOM || t.outcome() == PlaceOutcome.STALE);
      if (failed) {
        abortStart(all, PlaceOutcome.NO_ROOM);
        return;
      }
      runs.remove(gang.job().key());
      context
          .decisions()
          .add(DecisionLog.subject(gang.job().key()), "gang started", "all its tasks were placed");
    }

    private void applyOutcome(int index, TaskPlaced placed) {
      int attempt = gang.attempts().get(index);
      switch (placed.outcome()) {
        case STARTED -> {
          shard
              .placement(key(index))
              .ifPresent(p -> shard.put(key(index), p.runningOn(placed.worker())));
          shard
              .state()
              .recordActiveAttempt(key(index), attempt, TaskPhase.RUNNING, placed.worker());
        }
        case NO_ROOM, STALE -> {
          shard.forget(key(index), attempt);
          shard.state().clearActiveAttempt(key(index), attempt);
        }
        case UNKNOWN -> LOG.atFine().log("jobs: it is unknown whether %s started", key(index));
        default -> throw new IllegalStateException("unexpected outcome: " + placed.outcome());
      }
    }

    /**
     * Stops the started tasks of a gang of which not all tasks could start. The gang is queued
     * again once none of its tasks runs.
     */
    private void abortStart(Map<Integer, TaskPlaced> all, PlaceOutcome outcome) {
      runs.remove(gang.job().key());
      execute(planner.startFailed(context.clock().instant()));
      context
          .decisions()
          .add(DecisionLog.subject(gang.job().key()), "gang not started", "" + outcome);
      if (!gang.job().idempotent()) {
        revertStartMarks(all);
      }
      if (shard.placementsOf(gang.job().key()).isEmpty()) {
        requeue();
        return;
      }
      shard.startGangRestart(gang.job().key());
      stopper.stop(shard, shard.placementsOf(gang.job().key()));
    }

    private void revertStartMarks(Map<Integer, TaskPlaced> all) {
      Instant now = context.clock().instant();
      all.forEach(
          (index, placed) -> {
            boolean certainlyNotStarted =
                placed.outcome() == PlaceOutcome.NO_ROOM || placed.outcome() == PlaceOutcome.STALE;
            if (certainlyNotStarted) {
              append(
                  new JournalRecord.TaskEnded(
                      key(index),
                      gang.attempts().get(index),
                      TaskPhase.WAITING,
                      null,
                      "gang not started",
                      now));
            }
          });
    }

    private void requeue() {
      Map<Integer, Integer> attempts = new HashMap<>();
      gang.attempts()
          .forEach((index, last) -> attempts.put(index, AttemptNumbers.next(shard.epoch(), last)));
      context.queue().requeue(new GangStart(gang.job(), attempts, gang.size()));
    }

    private <T extends PeerMessage> CompletionStage<T> call(
        RackId rack, PeerMessage message, Class<T> kind) {
      Optional<VmId> owner = context.members().ownerOf(ShardId.rack(rack));
      if (owner.isEmpty()) {
        return CompletableFuture.failedFuture(
            new PeerException(false, "no owner of " + rack, null));
      }
      return context.calls().call(owner.get(), message, kind, context.times().placeTimeout());
    }
  }
}
