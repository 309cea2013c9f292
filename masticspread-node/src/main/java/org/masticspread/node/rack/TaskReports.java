package org.masticspread.node.rack;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.peer.ReportTasks;
import org.masticspread.model.platform.TaskAttempt;

/** Takes what became of tasks to the owner of their work shard. */
@FunctionalInterface
public interface TaskReports {
  /**
   * Sends a report.
   *
   * @param report the report
   * @return ended attempts that are durably known; fails when the owner did not answer
   */
  CompletionStage<List<TaskAttempt>> send(ReportTasks report);
}
