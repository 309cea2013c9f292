package org.masticspread.node.api;

import java.util.List;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Decision;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.ShardEpoch;

/** Reports the status of this VM and its peers. */
public interface StatusService {
  /**
   * Status of a VM as known to this VM.
   *
   * @param vm the VM
   * @param incarnation the number of its incarnation
   * @param configRevision the revision in force on it
   * @param storeReached whether its latest heartbeat reached the store
   * @param stopping whether it is stopping
   * @param ageMs the age of its latest digest, in milliseconds
   * @param home the load of its endpoints
   * @param shards the work shards it owns
   * @param racks the racks it owns
   */
  record VmStatus(
      VmId vm,
      long incarnation,
      long configRevision,
      boolean storeReached,
      boolean stopping,
      long ageMs,
      HomeDigest home,
      List<ShardEpoch> shards,
      List<RackDigest> racks) {}

  /**
   * Status of the cell as known to this VM.
   *
   * @param vm this VM
   * @param ready whether this VM accepts work
   * @param configRevision the revision in force on this VM
   * @param shardsOwned the number of work shards with a known owner
   * @param shardsTotal the number of work shards
   * @param vms this VM and its peers
   */
  record Status(
      VmId vm,
      boolean ready,
      long configRevision,
      int shardsOwned,
      int shardsTotal,
      List<VmStatus> vms) {}

  /**
   * Returns the status of the cell.
   *
   * @return the status
   */
  Status status();

  /**
   * Returns whether this VM accepts work.
   *
   * @return whether it is ready
   */
  boolean isReady();

  /**
   * Collects the decisions of all VMs that answer.
   *
   * @param subject the subject, as {@code job:TEAM/JOB}
   * @return the decisions, oldest first
   */
  CompletionStage<List<Decision>> explain(String subject);
}
