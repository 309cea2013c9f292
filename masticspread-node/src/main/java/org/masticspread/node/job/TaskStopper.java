package org.masticspread.node.job;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.peer.Acknowledged;
import org.masticspread.model.peer.StopTasks;
import org.masticspread.model.platform.TaskAttempt;

/** Asks rack owners to stop tasks; the end of a task arrives in a later report. */
final class TaskStopper {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final JobContext context;

  TaskStopper(JobContext context) {
    this.context = context;
  }

  void stop(JobShard shard, Map<TaskKey, Placement> placements) {
    Map<RackId, List<TaskAttempt>> byRack = new HashMap<>();
    placements.forEach(
        (task, placement) ->
            byRack
                .computeIfAbsent(placement.rack(), r -> new ArrayList<>())
                .add(new TaskAttempt(task, placement.attempt())));
    byRack.forEach((rack, tasks) -> stop(shard, rack, tasks));
  }

  private void stop(JobShard shard, RackId rack, List<TaskAttempt> tasks) {
    StopTasks message = new StopTasks(rack, shard.epoch(), shard.id(), tasks);
    context
        .members()
        .ownerOf(ShardId.rack(rack))
        .ifPresent(
            vm ->
                context
                    .calls()
                    .call(vm, message, Acknowledged.class, context.times().placeTimeout())
                    .exceptionally(
                        thrown -> {
                          LOG.atWarning().log(
                              "jobs: stop order for tasks on %s failed: %s",
                              rack, thrown.getMessage());
                          return null;
                        }));
  }
}
