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

/** Tells the parts of a node which shards it owns. Called from one loop only. */
final class ShardEvents implements OwnershipListener {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final Duration LONGEST_RELEASE = Duration.ofSeconds(10);

  private final JobShards jobs;
  private final RackOwner racks;
  private final AtMostOnceRunner atMostOnce;
  private final InstantSource clock;
  private final Executor executor;
  private final Map<ShardId, Instant> releasing = new HashMap<>();

  ShardEvents(
      JobShards jobs,
      RackOwner racks,
      AtMostOnceRunner atMostOnce,
      InstantSource clock,
      Executor executor) {
    this.jobs = jobs;
    this.racks = racks;
    this.atMostOnce = atMostOnce;
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
    Instant since = releasing.computeIfAbsent(shard, s -> now);
    boolean idle = atMostOnce.inFlight(shard) == 0;
    return idle || now.isAfter(since.plus(LONGEST_RELEASE));
  }

  @Override
  public void lost(ShardId shard, long epoch) {
    releasing.remove(shard);
    if (shard.kind() == ShardKind.WORK) {
      jobs.lost(shard);
    } else {
      racks.lost(shard);
    }
  }

  @Override
  public void recoveryFailed(ShardId shard, MasticspreadException error) {
    LOG.atSevere().log("shard: %s can't be recovered: %s", shard, error.getMessage());
  }
}
