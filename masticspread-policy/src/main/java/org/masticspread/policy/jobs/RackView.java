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
 * A rack as its last digest tells, less what was given to it since. Guarded by the queue's lock.
 */
final class RackView {
  private static final double ACCELERATOR_PENALTY = 10.0;

  private final Map<TeamId, ResourceVector> given = new HashMap<>();
  private RackDigest digest;
  private ResourceVector free;
  private ResourceVector largestFree;
  private ResourceVector refused;

  RackView(RackDigest digest) {
    reset(digest);
  }

  /** Takes over a digest if it differs from the last one. */
  void update(RackDigest newer) {
    if (!newer.equals(digest)) {
      reset(newer);
    }
  }

  private void reset(RackDigest newer) {
    digest = newer;
    free = newer.free();
    largestFree = newer.largestHole();
    refused = null;
    given.clear();
  }

  RackId rack() {
    return digest.rack();
  }

  ResourceVector capacity() {
    return digest.capacity();
  }

  boolean fits(ResourceVector size) {
    boolean known = refused == null || !refused.fitsIn(size);
    return known && size.fitsIn(largestFree) && size.fitsIn(free);
  }

  void give(TeamId team, ResourceVector size) {
    free = Vectors.minusOrZero(free, size);
    largestFree = Vectors.min(largestFree, free);
    given.merge(team, size, ResourceVector::plus);
  }

  /** Takes back what was given; the rack had no room for it. */
  void refuse(TeamId team, ResourceVector size) {
    takeBack(team, size);
    refused = refused == null ? size : Vectors.min(refused, size);
  }

  void takeBack(TeamId team, ResourceVector size) {
    ResourceVector held = given.getOrDefault(team, ResourceVector.ZERO);
    ResourceVector returned = Vectors.min(held, size);
    given.put(team, held.minus(returned));
    free = free.plus(returned);
  }

  /** Adds what each team holds here, by the digest and by what was given since. */
  void addUsage(Map<TeamId, ResourceVector> usage) {
    for (TeamUsage held : digest.usage()) {
      usage.merge(held.team(), held.held(), ResourceVector::plus);
    }
    given.forEach((team, size) -> usage.merge(team, size, ResourceVector::plus));
  }

  /**
   * Rates the rack for a size that fits: the tighter the better, accelerators kept for their work.
   */
  double cost(ResourceVector size) {
    double cost = part(free.millicores(), digest.capacity().millicores());
    cost += part(free.memoryBytes(), digest.capacity().memoryBytes());
    if (free.accelerators() > 0 && size.accelerators() == 0) {
      cost += ACCELERATOR_PENALTY;
    }
    return cost;
  }

  private static double part(long amount, long whole) {
    return whole == 0 ? 0 : (double) amount / whole;
  }
}
