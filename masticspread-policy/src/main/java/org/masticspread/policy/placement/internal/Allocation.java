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

/** The allocation of one attempt that runs or may run on a worker. Guarded by the ledger's lock. */
public final class Allocation {
  final TaskAttempt attempt;
  final ShardId workShard;
  final WorkerState state;
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

  Allocation(PlaceTask task, WorkerState state, long sequence) {
    this.attempt = new TaskAttempt(task.task(), task.attempt());
    this.workShard = task.workShard();
    this.state = state;
    this.sequence = sequence;
    this.startBefore = task.startBefore();
    this.classKey = task.classKey();
    this.urgency = task.urgency();
    this.kind = task.kind();
    this.size = task.size();
    this.fullSize = task.size();
  }

  /** Creates an allocation for a reported task that this ledger did not place. */
  Allocation(WorkerTask task, WorkerState state, long sequence) {
    this.attempt = new TaskAttempt(task.task(), task.attempt());
    this.workShard = task.workShard();
    this.state = state;
    this.sequence = sequence;
    this.startBefore = Instant.MIN;
    this.classKey = null;
    this.urgency = Urgency.URGENT;
    this.kind = JobKind.SERVICE;
    this.size = task.size();
    this.fullSize = task.size();
  }

  boolean isStopping() {
    return order == TaskOrder.STOP || order == TaskOrder.CHECKPOINT;
  }
}
