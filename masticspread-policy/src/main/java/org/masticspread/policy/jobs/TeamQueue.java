package org.masticspread.policy.jobs;

import java.time.Instant;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.Map;
import java.util.TreeSet;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.Urgency;

/** The waiting jobs of one team, by urgency and latest start. Guarded by the lock of the queue. */
final class TeamQueue {
  /** The maximum number of blocked jobs of one urgency to skip to find one that can start. */
  private static final int BACKFILL_DEPTH = 16;

  private final Map<Urgency, TreeSet<WaitingJob>> byUrgency = new EnumMap<>(Urgency.class);
  TeamConfig config;
  ResourceVector used = ResourceVector.ZERO;
  double share;
  private double urgentCharge;
  private double liftedCharge;

  TeamQueue(TeamConfig config) {
    this.config = config;
    for (Urgency urgency : Urgency.values()) {
      byUrgency.put(urgency, new TreeSet<>(WaitingJob.BY_LATEST_START));
    }
  }

  void add(WaitingJob job) {
    if (!job.queued) {
      job.queued = true;
      byUrgency.get(job.spec.urgency()).add(job);
    }
  }

  /** Empties the queue. */
  void clear() {
    for (TreeSet<WaitingJob> jobs : byUrgency.values()) {
      jobs.forEach(job -> job.queued = false);
      jobs.clear();
    }
  }

  boolean hasWork(long round) {
    return byUrgency.keySet().stream().anyMatch(urgency -> first(urgency, round) != null);
  }

  /**
   * Returns the job to start next, or null if none can start in this round. Urgent and lifted jobs
   * share the starts of the team evenly, so that neither starves the other.
   */
  WaitingJob next(Instant now, long round, boolean liftAllowed) {
    WaitingJob urgent = first(Urgency.URGENT, round);
    WaitingJob normal = first(Urgency.NORMAL, round);
    WaitingJob deferrable = first(Urgency.DEFERRABLE, round);
    WaitingJob lifted = liftAllowed ? lifted(normal, deferrable, now) : null;
    if (urgent != null && lifted != null) {
      return liftedCharge < urgentCharge ? lifted : urgent;
    }
    urgentCharge = 0;
    liftedCharge = 0;
    if (urgent != null || lifted != null) {
      return urgent != null ? urgent : lifted;
    }
    return normal != null ? normal : deferrable;
  }

  private static WaitingJob lifted(WaitingJob normal, WaitingJob deferrable, Instant now) {
    boolean normalLifted = normal != null && normal.isLifted(now);
    boolean deferrableLifted = deferrable != null && deferrable.isLifted(now);
    if (normalLifted && deferrableLifted) {
      return WaitingJob.BY_LATEST_START.compare(normal, deferrable) <= 0 ? normal : deferrable;
    }
    if (normalLifted) {
      return normal;
    }
    return deferrableLifted ? deferrable : null;
  }

  private WaitingJob first(Urgency urgency, long round) {
    int skipped = 0;
    Iterator<WaitingJob> jobs = byUrgency.get(urgency).iterator();
    while (jobs.hasNext() && skipped < BACKFILL_DEPTH) {
      WaitingJob job = jobs.next();
      if (!job.isWaiting()) {
        jobs.remove();
        job.queued = false;
      } else if (job.blockedInRound != round) {
        return job;
      } else {
        skipped++;
      }
    }
    return null;
  }

  /** Charges the cost of a start to urgent or to other work. */
  void charge(WaitingJob job, double cost) {
    if (job.spec.urgency() == Urgency.URGENT) {
      urgentCharge += cost;
    } else {
      liftedCharge += cost;
    }
  }
}
