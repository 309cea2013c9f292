package org.masticspread.ctl.client;

import java.util.List;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.ShardEpoch;

/**
 * The state of the cell as one VM knows it.
 *
 * @param vm the VM that answered
 * @param ready whether it accepts work
 * @param configRevision the revision of the configuration in force there
 * @param shardsOwned the number of work shards with a known owner; null if unknown
 * @param shardsTotal the number of work shards; null if unknown
 * @param vms the VM itself and its peers
 */
public record NodeStatus(
    VmId vm,
    boolean ready,
    long configRevision,
    Integer shardsOwned,
    Integer shardsTotal,
    List<Vm> vms) {

  /** Copies the list; a missing list counts as empty. */
  public NodeStatus {
    vms = copy(vms);
  }

  /**
   * The state of one VM.
   *
   * @param vm the VM
   * @param incarnation the number of its incarnation
   * @param configRevision the revision of the configuration in force there
   * @param storeReached whether its latest heartbeat reached the store
   * @param stopping whether it is shutting down
   * @param ageMs the age of this information in milliseconds
   * @param home the load of its endpoints; null if unknown
   * @param shards the work shards it owns
   * @param racks the racks it owns
   */
  public record Vm(
      VmId vm,
      long incarnation,
      long configRevision,
      boolean storeReached,
      boolean stopping,
      long ageMs,
      HomeDigest home,
      List<ShardEpoch> shards,
      List<RackDigest> racks) {

    /** Copies the lists; a missing list counts as empty. */
    public Vm {
      shards = copy(shards);
      racks = copy(racks);
    }
  }

  private static <T> List<T> copy(List<T> list) {
    return list == null ? List.of() : List.copyOf(list);
  }
}
