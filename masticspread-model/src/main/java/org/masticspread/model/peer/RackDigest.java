package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.RackId;
import org.masticspread.model.resource.ResourceVector;

/**
 * A digest of the state of a rack, sent by its owner.
 *
 * @param rack the rack
 * @param epoch the epoch of the rack shard
 * @param free the total free resources
 * @param largestHole the largest free resources of a single worker
 * @param capacity the total capacity of its workers
 * @param usage the resources allocated to each team
 */
public record RackDigest(
    RackId rack,
    long epoch,
    ResourceVector free,
    ResourceVector largestHole,
    ResourceVector capacity,
    List<TeamUsage> usage) {

  /** Copies the list. */
  public RackDigest {
    usage = List.copyOf(usage);
  }
}
