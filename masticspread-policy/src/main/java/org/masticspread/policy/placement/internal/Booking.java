package org.masticspread.policy.placement.internal;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.Urgency;

/** One attempt of a task that runs, or may run, on a worker. Guarded by its ledger's lock. */
public final class Booking {
  final TaskAttempt attempt;
  final ShardId workShard;
  final WorkerSlot slot;
  final long sequence;
  final Instant startBefore;
  final ClassKey classKey;
  final Urgency urgency;
  final JobKind kind;
  ResourceVector size;
  ResourceVector fullSize;
  Duration ranFor = Duration.ZERO;
  boolean certain;
  long confirmedSequence;
  TaskOrder order;
  Instant orderedAt;

  Booking(PlaceTask task, WorkerSlot slot, long sequence) {
    this.attempt = new TaskAttempt(task.task(), task.attempt());
    this.workShard = task.workShard();
    this.slot = slot;
    this.sequence = sequence;
    this.startBefore = task.startBefore();
    this.classKey = task.classKey();
    this.urgency = task.urgency();
    this.kind = task.kind();
    this.size = task.size();
    this.fullSize = task.size();
  }

  /** Books a task that a worker reports and that this ledger did not place. */
  Booking(WorkerTask task, WorkerSlot slot, long sequence) {
    this.attempt = new TaskAttempt(task.task(), task.attempt());
    this.workShard = task.workShard();
    this.slot = slot;
    this.sequence = sequence;
    this.startBefore = Instant.MIN;
    this.classKey = null;
    this.urgency = Urgency.URGENT;
    this.kind = JobKind.SERVICE;
    this.size = task.size();
    this.fullSize = task.size();
  }

  boolean isLeaving() {
    return order == TaskOrder.STOP || order == TaskOrder.CHECKPOINT;
  }
}
