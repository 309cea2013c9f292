package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.WorkerTask;

/**
 * Reports the state of tasks to the owner of their work shard. Answered by {@link
 * TasksAcknowledged}.
 *
 * @param workShard the work shard
 * @param worker the worker
 * @param rack the rack
 * @param tasks the tasks
 */
public record ReportTasks(ShardId workShard, WorkerId worker, RackId rack, List<WorkerTask> tasks)
    implements PeerMessage {

  /** Copies the list. */
  public ReportTasks {
    tasks = List.copyOf(tasks);
  }
}
