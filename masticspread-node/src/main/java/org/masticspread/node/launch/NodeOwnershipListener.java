package org.masticspread.node.launch;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.Executor;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.ShardKind;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.node.job.JobShards;
import org.masticspread.node.rack.RackOwner;
import org.masticspread.node.request.AtMostOnceRunner;
import org.masticspread.state.ownership.OwnershipListener;
import org.masticspread.state.shard.WorkShardState;

/**
 * Notifies the components of a node of the shards that it owns. Called from one periodic task only.
 */
final class NodeOwnershipListener implements OwnershipListener {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final Duration MAX_RELEASE_WAIT = Duration.ofSeconds(10);

  private final JobShards jobs;
  private final RackOwner racks;
  private final AtMostOnceRunner atMostOnceRunner;
  private final InstantSource clock;
  private final Executor executor;
  private final Map<ShardId, Instant> releasingSince = new HashMap<>();

  NodeOwnershipListener(
      JobShards jobs,
      RackOwner racks,
      AtMostOnceRunner atMostOnceRunner,
      InstantSource clock,
      Executor executor) {
    this.jobs = jobs;
    this.racks = racks;
    this.atMostOnceRunner = atMostOnceRunner;
    this.clock = clock;
    this.executor = executor;
  }

  @Override
  public void acquired(ShardId shard, long epoch, WorkShardState state) {
    if (shard.kind() == ShardKind.WORK) {
      jobs.acquired(shard, epoch, state);
      return;
    }
    racks.acquired(shard, epoch);
    executor.execute(racks::renew);
  }

  @Override
  public boolean prepareRelease(ShardId shard, long epoch) {
    if (shard.kind() == ShardKind.RACK) {
      racks.release(shard);
      return true;
    }
    jobs.release(shard);
    Instant now = clock.instant();
    Instant since = releasingSince.computeIfAbsent(shard, s -> now);
    boolean idle = atMostOnceRunner.inFlight(shard) == 0;
    return idle || now.isAfter(since.plus(MAX_RELEASE_WAIT));
  }

  @Override
  public void lost(ShardId shard, long epoch) {
    releasingSince.remove(shard);
    if (shard.kind() == ShardKind.WORK) {
      jobs.lost(shard);
    } else {
      racks.lost(shard);
    }
  }

  @Override
  public void recoveryFailed(ShardId shard, MasticspreadException error) {
    LOG.atSevere().log("shard: cannot recover %s: %s", shard, error.getMessage());
  }
}
