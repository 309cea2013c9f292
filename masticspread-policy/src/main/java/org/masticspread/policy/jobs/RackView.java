package org.masticspread.policy.jobs;

import java.util.HashMap;
import java.util.Map;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.TeamUsage;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.policy.placement.internal.Vectors;

/**
 * The state of a rack by its latest digest, less what was assigned to it since. Guarded by the lock
 * of the queue.
 */
final class RackView {
  private static final double ACCELERATOR_PENALTY = 10.0;

  private final Map<TeamId, ResourceVector> assigned = new HashMap<>();
  private RackDigest digest;
  private ResourceVector free;
  private ResourceVector largestFree;
  private ResourceVector refusedSize;

  RackView(RackDigest digest) {
    reset(digest);
  }

  /** Applies a digest if it differs from the previous one. */
  void update(RackDigest newer) {
    if (!newer.equals(digest)) {
      reset(newer);
    }
  }

  private void reset(RackDigest newer) {
    digest = newer;
    free = newer.free();
    largestFree = newer.largestHole();
    refusedSize = null;
    assigned.clear();
  }

  RackId rack() {
    return digest.rack();
  }

  ResourceVector capacity() {
    return digest.capacity();
  }

  boolean fits(ResourceVector size) {
    boolean mayFit = refusedSize == null || !refusedSize.fitsIn(size);
    return mayFit && size.fitsIn(largestFree) && size.fitsIn(free);
  }

  void assign(TeamId team, ResourceVector size) {
    free = Vectors.minusOrZero(free, size);
    largestFree = Vectors.min(largestFree, free);
    assigned.merge(team, size, ResourceVector::plus);
  }

  /** Reverts an assignment and remembers that the rack has no room for its size. */
  void recordRefusal(TeamId team, ResourceVector size) {
    unassign(team, size);
    refusedSize = refusedSize == null ? size : Vectors.min(refusedSize, size);
  }

  void unassign(TeamId team, ResourceVector size) {
    ResourceVector held = assigned.getOrDefault(team, ResourceVector.ZERO);
    ResourceVector freed = Vectors.min(held, size);
    assigned.put(team, held.minus(freed));
    free = free.plus(freed);
  }

  /** Adds the usage of each team on this rack, including assignments since the digest. */
  void addUsage(Map<TeamId, ResourceVector> usage) {
    for (TeamUsage held : digest.usage()) {
      usage.merge(held.team(), held.held(), ResourceVector::plus);
    }
    assigned.forEach((team, size) -> usage.merge(team, size, ResourceVector::plus));
  }

  /**
   * Returns the cost of placing a fitting size here. Fuller racks cost less; work without
   * accelerators pays a penalty on racks with free accelerators.
   */
  double cost(ResourceVector size) {
    double cost = fraction(free.millicores(), digest.capacity().millicores());
    cost += fraction(free.memoryBytes(), digest.capacity().memoryBytes());
    if (free.accelerators() > 0 && size.accelerators() == 0) {
      cost += ACCELERATOR_PENALTY;
    }
    return cost;
  }

  private static double fraction(long amount, long whole) {
    return whole == 0 ? 0 : (double) amount / whole;
  }
}
