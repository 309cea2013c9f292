package org.masticspread.model.peer;

import java.util.List;
import org.masticspread.model.id.RackId;
import org.masticspread.model.resource.ResourceVector;

/**
 * The state of a rack, told by its owner.
 *
 * @param rack the rack
 * @param epoch the epoch of the rack shard
 * @param free the sum of what is free
 * @param largestHole the largest free vector of a single worker
 * @param capacity the sum of what its workers hold
 * @param usage what each team's tasks hold
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
