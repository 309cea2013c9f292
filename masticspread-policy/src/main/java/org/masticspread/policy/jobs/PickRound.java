package org.masticspread.policy.jobs;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.placement.internal.Vectors;

/** One round of choices with the same digests. Guarded by the queue's lock. */
final class PickRound {
  /** A job and the rack of its next task; the rack is null for a gang. */
  record Choice(WaitingJob job, RackView rack) {}

  private record Turn(TeamQueue team, WaitingJob job, boolean belowFloor, int rank) {}

  private static final int URGENT_RANK = 0;
  private static final int NORMAL_RANK = 1;
  private static final int DEFERRABLE_RANK = 2;

  private final RackChooser racks;
  private final Instant now;
  private final long round;
  private final List<TeamQueue> teams = new ArrayList<>();
  private final Map<PoolId, ResourceVector> capacities = new HashMap<>();
  private final Map<PoolId, Integer> weights = new HashMap<>();

  PickRound(RackChooser racks, Collection<TeamQueue> all, Instant now, long round) {
    this.racks = racks;
    this.now = now;
    this.round = round;
    Map<TeamId, ResourceVector> usage = racks.usage();
    for (TeamQueue team : all) {
      team.used = usage.getOrDefault(team.config.name(), ResourceVector.ZERO);
      if (!team.hasWork(round)) {
        continue;
      }
      PoolId pool = team.config.pool();
      capacities.computeIfAbsent(pool, racks::capacity);
      weights.merge(pool, team.config.weight(), Integer::sum);
      team.share = Vectors.dominantShare(team.used, capacities.get(pool));
      teams.add(team);
    }
  }

  /** Returns the next choice, or null if nothing more can start. */
  Choice next() {
    for (Turn turn = best(); turn != null; turn = best()) {
      Choice choice = tryStart(turn);
      if (choice != null) {
        return choice;
      }
      turn.job().blockedRound = round;
    }
    return null;
  }

  private Turn best() {
    Turn best = null;
    for (TeamQueue team : teams) {
      boolean entitled = team.share < entitlement(team);
      WaitingJob job = team.next(now, round, entitled);
      if (job == null) {
        continue;
      }
      boolean belowFloor = team.share < team.config.floor();
      Turn turn = new Turn(team, job, belowFloor, rank(job, entitled));
      if (best == null || comesBefore(turn, best)) {
        best = turn;
      }
    }
    return best;
  }

  private double entitlement(TeamQueue team) {
    double byWeight = (double) team.config.weight() / weights.get(team.config.pool());
    return Math.max(team.config.floor(), byWeight);
  }

  private int rank(WaitingJob job, boolean entitled) {
    if (job.spec.urgency() == Urgency.URGENT || (entitled && job.isLifted(now))) {
      return URGENT_RANK;
    }
    return job.spec.urgency() == Urgency.NORMAL ? NORMAL_RANK : DEFERRABLE_RANK;
  }

  private static boolean comesBefore(Turn left, Turn right) {
    if (left.belowFloor() != right.belowFloor()) {
      return left.belowFloor();
    }
    if (left.belowFloor()) {
      return left.team().share / left.team().config.floor()
          < right.team().share / right.team().config.floor();
    }
    if (left.rank() != right.rank()) {
      return left.rank() < right.rank();
    }
    return left.team().share / left.team().config.weight()
        < right.team().share / right.team().config.weight();
  }

  private Choice tryStart(Turn turn) {
    WaitingJob job = turn.job();
    TeamQueue team = turn.team();
    ResourceVector next = job.nextSize();
    ResourceVector after = team.used.plus(next);
    if (team.config.quota() != null && !after.fitsIn(team.config.quota())) {
      job.reason = WaitReason.QUOTA;
      return null;
    }
    RackView rack = null;
    if (!job.isGang()) {
      rack = racks.choose(job, team.config.pool());
      if (rack == null) {
        job.reason = WaitReason.NO_ROOM;
        return null;
      }
      rack.give(team.config.name(), next);
    }
    ResourceVector capacity = capacities.get(team.config.pool());
    team.charge(job, Vectors.dominantShare(next, capacity));
    team.used = after;
    team.share = Vectors.dominantShare(after, capacity);
    job.reason = WaitReason.TURN;
    return new Choice(job, rack);
  }
}
