package org.masticspread.state.ownership;

import java.util.Collection;
import java.util.Optional;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.VmId;
import org.masticspread.state.internal.Rendezvous;

/**
 * Maps keys to work shards, and shards and endpoints to VMs. Every VM with the same list of VMs
 * computes the same mapping. When the list changes, only shards and endpoints of removed VMs, and
 * those that a new VM takes over, move.
 *
 * <p>Example: {@code map.owner(map.workShard(job.key()), liveVms)}. Immutable.
 */
public final class ShardMap {
  /** The default number of work shards of a cell. The number must never change within a cell. */
  public static final int DEFAULT_WORK_SHARDS = 64;

  private final int workShards;

  /**
   * Creates a map.
   *
   * @param workShards the number of work shards, the same on every VM for the lifetime of the cell
   * @throws IllegalArgumentException if the number is not positive
   */
  public ShardMap(int workShards) {
    if (workShards < 1) {
      throw new IllegalArgumentException("workShards: " + workShards + " is not positive");
    }
    this.workShards = workShards;
  }

  /**
   * Returns the work shard of a job.
   *
   * @param job the job
   * @return the shard
   */
  public ShardId workShard(JobKey job) {
    return shardOf("job\n" + job);
  }

  /**
   * Returns the work shard of a request.
   *
   * @param request the request
   * @return the shard
   */
  public ShardId workShard(RequestKey request) {
    return shardOf("request\n" + request);
  }

  private ShardId shardOf(String text) {
    return ShardId.work((int) Long.remainderUnsigned(Rendezvous.hash(text), workShards));
  }

  /**
   * Returns all work shards.
   *
   * @return the shards in the order of their numbers
   */
  public Stream<ShardId> workShards() {
    return IntStream.range(0, workShards).mapToObj(ShardId::work);
  }

  /**
   * Returns the VM that should own a shard.
   *
   * @param shard the shard
   * @param vms the VMs that may own shards
   * @return the VM, or empty if there are none
   */
  public Optional<VmId> owner(ShardId shard, Collection<VmId> vms) {
    return Rendezvous.owner(shard.toString(), vms);
  }

  /**
   * Returns the home VM of an endpoint.
   *
   * @param endpoint the endpoint
   * @param vms the VMs that may be homes
   * @return the VM, or empty if there are none
   */
  public Optional<VmId> home(EndpointId endpoint, Collection<VmId> vms) {
    return Rendezvous.owner("endpoint-" + endpoint, vms);
  }
}
