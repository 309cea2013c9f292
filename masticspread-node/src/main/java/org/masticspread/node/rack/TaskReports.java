package org.masticspread.node.rack;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.peer.ReportTasks;
import org.masticspread.model.platform.TaskAttempt;

/** Reports ended tasks to the owner of their work shard. */
@FunctionalInterface
public interface TaskReports {
  /**
   * Sends a report.
   *
   * @param report the report
   * @return the attempts whose end is durable; the stage fails if the owner does not answer
   */
  CompletionStage<List<TaskAttempt>> send(ReportTasks report);
}
