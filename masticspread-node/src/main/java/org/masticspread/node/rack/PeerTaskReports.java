package org.masticspread.node.rack;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.ReportTasks;
import org.masticspread.model.peer.TasksAcknowledged;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;

/** Sends reports of tasks to the VM that owns their work shard. */
public final class PeerTaskReports implements TaskReports {
  private final Members members;
  private final PeerCalls calls;
  private final Duration timeout;

  /**
   * Creates the sender.
   *
   * @param members the members with the shards they own
   * @param calls the calls to VMs
   * @param timeout the timeout of a call
   */
  public PeerTaskReports(Members members, PeerCalls calls, Duration timeout) {
    this.members = members;
    this.calls = calls;
    this.timeout = timeout;
  }

  @Override
  public CompletionStage<List<TaskAttempt>> send(ReportTasks report) {
    Optional<VmId> owner = members.ownerOf(report.workShard());
    if (owner.isEmpty()) {
      return CompletableFuture.failedFuture(
          new PeerException(false, "no owner of " + report.workShard(), null));
    }
    return calls
        .call(owner.get(), report, TasksAcknowledged.class, timeout)
        .thenApply(TasksAcknowledged::tasks);
  }
}
