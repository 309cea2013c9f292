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

/** One selection round on a fixed set of digests. Guarded by the lock of the queue. */
final class PickRound {
  /** A selected job and the rack for its next task; the rack is null for a gang. */
  record Choice(WaitingJob job, RackView rack) {}

  private record Candidate(TeamQueue team, WaitingJob job, boolean belowFloor, int rank) {}

  private static final int URGENT_RANK = 0;
  private static final int NORMAL_RANK = 1;
  private static final int DEFERRABLE_RANK = 2;

  private final RackChooser racks;
  private final Instant now;
  private final long round;
  private final List<TeamQueue> teams = new ArrayList<>();
  private final Map<PoolId, ResourceVector> capacities = new HashMap<>();
  private final Map<PoolId, Integer> weights = new HashMap<>();

  PickRound(RackChooser racks, Collection<TeamQueue> allTeams, Instant now, long round) {
    this.racks = racks;
    this.now = now;
    this.round = round;
    Map<TeamId, ResourceVector> usage = racks.usage();
    for (TeamQueue team : allTeams) {
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

  /** Returns the next choice, or null if nothing else can start in this round. */
  Choice next() {
    for (Candidate candidate = bestCandidate(); candidate != null; candidate = bestCandidate()) {
      Choice choice = tryStart(candidate);
      if (choice != null) {
        return choice;
      }
      candidate.job().blockedInRound = round;
    }
    return null;
  }

  private Candidate bestCandidate() {
    Candidate best = null;
    for (TeamQueue team : teams) {
      boolean entitled = team.share < entitlement(team);
      WaitingJob job = team.next(now, round, entitled);
      if (job == null) {
        continue;
      }
      boolean belowFloor = team.share < team.config.floor();
      Candidate candidate = new Candidate(team, job, belowFloor, rank(job, entitled));
      if (best == null || precedes(candidate, best)) {
        best = candidate;
      }
    }
    return best;
  }

  private double entitlement(TeamQueue team) {
    double weightShare = (double) team.config.weight() / weights.get(team.config.pool());
    return Math.max(team.config.floor(), weightShare);
  }

  private int rank(WaitingJob job, boolean entitled) {
    if (job.spec.urgency() == Urgency.URGENT || (entitled && job.isLifted(now))) {
      return URGENT_RANK;
    }
    return job.spec.urgency() == Urgency.NORMAL ? NORMAL_RANK : DEFERRABLE_RANK;
  }

  private static boolean precedes(Candidate left, Candidate right) {
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

  private Choice tryStart(Candidate candidate) {
    WaitingJob job = candidate.job();
    TeamQueue team = candidate.team();
    ResourceVector size = job.nextSize();
    ResourceVector usedAfter = team.used.plus(size);
    if (team.config.quota() != null && !usedAfter.fitsIn(team.config.quota())) {
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
      rack.assign(team.config.name(), size);
    }
    ResourceVector capacity = capacities.get(team.config.pool());
    team.charge(job, Vectors.dominantShare(size, capacity));
    team.used = usedAfter;
    team.share = Vectors.dominantShare(usedAfter, capacity);
    job.reason = WaitReason.TURN;
    return new Choice(job, rack);
  }
}
