package org.masticspread.node.rack;

import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.peer.PlaceTasks;
import org.masticspread.model.peer.RunningTask;
import org.masticspread.model.peer.ShardEpoch;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.policy.health.HealthTracker;
import org.masticspread.policy.placement.RackLedger;

/**
 * Rack that this VM owns: its ledger, the highest epoch seen of each work shard, and the contact
 * with each worker. Thread-safe.
 */
final class RackShard {
  /**
   * Task with the worker that the ledger chose for it.
   *
   * @param task the task
   * @param worker the worker, or empty if no worker has enough free capacity
   */
  record Choice(PlaceTask task, Optional<WorkerId> worker) {}

  private final RackId rack;
  private final long epoch;
  private final RackTimes times;
  private final InstantSource clock;
  private final RackLedger ledger;
  private final Instant acquiredAt;
  private final Map<WorkerId, WorkerContact> contacts = new HashMap<>();
  private final Map<ShardId, Long> shardEpochs = new HashMap<>();
  private final HealthTracker health;
  private boolean closed;

  RackShard(RackId rack, long epoch, RackTimes times, InstantSource clock) {
    this.rack = rack;
    this.epoch = epoch;
    this.times = times;
    this.clock = clock;
    this.ledger = RackLedger.forRack(rack, clock);
    this.acquiredAt = clock.instant();
    this.health = new HealthTracker(clock);
  }

  RackId rack() {
    return rack;
  }

  long epoch() {
    return epoch;
  }

  RackLedger ledger() {
    return ledger;
  }

  synchronized void configure(Configuration configuration) {
    ledger.configure(configuration);
    Instant formerLeasesUntil = acquiredAt.plus(times.lease()).plus(times.skewMargin());
    for (WorkerConfig worker : configuration.workers()) {
      if (worker.rack().equals(rack)) {
        contacts.computeIfAbsent(worker.name(), w -> new WorkerContact(formerLeasesUntil));
      }
    }
  }

  /**
   * Updates worker health from a report and quarantines workers on which the tasks of several jobs
   * fail.
   */
  synchronized void updateHealth(WorkerReport report) {
    for (WorkerTask task : report.tasks()) {
      if (task.phase() == WorkerTaskPhase.FAILED) {
        health.recordFailure(task.task().job(), report.worker());
      } else if (task.phase() == WorkerTaskPhase.SUCCEEDED) {
        health.recordSuccess(task.task().job(), report.worker());
      }
    }
    ledger.setQuarantined(health.updateQuarantine(contacts.keySet()));
  }

  /** Places no new tasks from now on. */
  synchronized void close() {
    closed = true;
  }

  synchronized Map<WorkerId, WorkerContact> contacts() {
    return Map.copyOf(contacts);
  }

  synchronized WorkerContact contact(WorkerId worker) {
    return contacts.get(worker);
  }

  /**
   * Books tasks in the ledger if the epoch of their work shard is not stale. Booking and sealing
   * exclude each other, so that a seal lists each task that was booked before it.
   *
   * @return the choices, or empty when the epoch is stale
   */
  synchronized Optional<List<Choice>> book(PlaceTasks message) {
    if (closed) {
      return Optional.of(
          message.tasks().stream().map(t -> new Choice(t, Optional.empty())).toList());
    }
    for (PlaceTask task : message.tasks()) {
      if (isStale(task.workShard(), message.shardEpoch())) {
        return Optional.empty();
      }
    }
    List<Choice> choices = new ArrayList<>();
    for (PlaceTask task : message.tasks()) {
      PlaceTask bounded = withStartWindow(task);
      choices.add(new Choice(bounded, ledger.place(bounded)));
    }
    return Optional.of(choices);
  }

  private PlaceTask withStartWindow(PlaceTask task) {
    Instant windowEnd = clock.instant().plus(times.startWindow());
    Instant startBefore = task.startBefore().isBefore(windowEnd) ? task.startBefore() : windowEnd;
    return new PlaceTask(
        task.task(),
        task.attempt(),
        task.workShard(),
        task.classKey(),
        task.urgency(),
        task.kind(),
        task.size(),
        startBefore,
        task.command());
  }

  synchronized boolean isStale(ShardId workShard, long shardEpoch) {
    long seen = shardEpochs.merge(workShard, shardEpoch, Math::max);
    return seen > shardEpoch;
  }

  /**
   * Raises the epochs of work shards and lists what runs, or may run, for them.
   *
   * @return the tasks, or empty while the tasks of some worker are unknown
   */
  synchronized Optional<List<RunningTask>> seal(List<ShardEpoch> shards) {
    shards.forEach(s -> shardEpochs.merge(s.shard(), s.epoch(), Math::max));
    boolean allKnown = contacts.values().stream().allMatch(WorkerContact::isKnown);
    if (!allKnown) {
      return Optional.empty();
    }
    List<RunningTask> running = new ArrayList<>();
    shards.forEach(s -> running.addAll(ledger.running(s.shard())));
    return Optional.of(running);
  }

  /** Returns the work shard of each booked attempt. */
  synchronized Map<TaskAttempt, ShardId> workShardsByAttempt() {
    Map<TaskAttempt, ShardId> shards = new HashMap<>();
    ledger.running(null).forEach(r -> shards.put(r.task(), r.workShard()));
    return shards;
  }
}
