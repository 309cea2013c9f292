package org.masticspread.cell.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.masticspread.cell.journal.UsedWorkersRecord.Used;
import org.masticspread.cell.policy.CandidateWorker;
import org.masticspread.cell.policy.Forecast;
import org.masticspread.cell.policy.SpeedEstimator;
import org.masticspread.cell.port.WorkerEntry;
import org.masticspread.model.resource.ResourceVector;

/** The cell's view of a worker. Confined to the cell's thread. */
final class Worker implements CandidateWorker {
  /** The generations of a worker in an epoch; epochs are in the bits above. */
  private static final int GENERATION_BITS = 20;

  private final SpeedEstimator speeds;
  private final InheritedLeases inheritedLeases;
  private final TeamQuotas quotas;
  WorkerEntry entry;

  /** The runs that may be active, by task name and run number. */
  final Map<String, Run> runs = new LinkedHashMap<>();

  /** The learned speed, cached since each placement reads it many times. */
  private double speed;

  /** The version of the learned speeds for which {@link #speed} is valid. */
  private long speedVersion = -1;

  /** The pass for which {@link #forecast} is valid. */
  private SchedulingPass forecastPass;

  private Forecast forecast;

  private final Map<String, Integer> tasksPerStep = new HashMap<>();
  private ResourceVector booked = ResourceVector.ZERO;

  /** The free capacity, cached since each placement reads it many times; null if outdated. */
  private ResourceVector free;

  /** The incarnation that was confirmed last; 0 before the first answer. */
  long incarnation;

  /** Since when it answers as this incarnation, on the cell's clock. */
  long incarnationSinceMillis;

  /**
   * Whether the incarnation that answers is known and refuses all calls that were made for earlier
   * ones.
   */
  boolean incarnationConfirmed;

  /** The part of the fencing token that rises whenever another incarnation may answer. */
  long generation;

  /** The newest incarnation that its registry entry showed. */
  long registeredIncarnation;

  /**
   * When the last lease of an incarnation that is not confirmed has certainly expired, on the
   * cell's clock.
   */
  long unconfirmedLeaseExpiryMillis = Long.MIN_VALUE / 2;

  /**
   * The latest end of a lease that a call for an earlier incarnation may have granted to this one,
   * on the worker's clock; 0 for none.
   */
  long strayLeaseUntilMillis;

  /** Whether another incarnation answers at its address. */
  boolean replaced;

  /** Whether it has answered in this epoch, and so refuses orders of earlier ones. */
  boolean hasAnswered;

  /** Whether an answer in this epoch listed all that ran or had ended there. */
  boolean hasReportedAllRuns;

  long lastAnswerMillis = -1;

  /** When the latest answered renewal was sent. */
  long lastRenewalSentMillis = -1;

  /** When it last refused a start for a cause on its side; negative before that. */
  long lastRefusalMillis = -1;

  /** The worker's clock in its latest answer. */
  long clockMillis;

  /** When {@link #clockMillis} was read, on the cell's clock. */
  long clockReadMillis;

  /** The latest end of a lease that may have reached it, on the worker's clock. */
  long leaseUntilMillis;

  /** The number of the last run end that was reported. */
  long seenEnd;

  /** Whether runs may have ended there that its latest answer did not list. */
  boolean mayHaveMoreEnded;

  /** The number of the last run end that is durable, which renewals acknowledge. */
  long acknowledgedEnd;

  /** The highest number that an answered renewal acknowledged. */
  long deliveredAcknowledgement;

  /** Whether a renewal is in flight. */
  boolean renewing;

  /** The number of the latest renewal; results of earlier ones are ignored. */
  long renewalNumber;

  /** Whether the next renewal must be answered without waiting for a run to end. */
  boolean renewImmediately;

  int failedRenewals;

  /** Whether the expiry of its lease has been logged. */
  boolean expiryLogged;

  /** When it left the registry; negative while it is registered. */
  long unregisteredSinceMillis = -1;

  /** When a gang last reserved its capacity. */
  long lastAwaitedMillis = Long.MIN_VALUE / 2;

  /** Whether a gang waited for its capacity as of the latest pass. */
  boolean awaitedByGang;

  /** How it is durably listed as used. */
  Optional<Used> listing = Optional.empty();

  /** How it is listed or about to be. */
  Optional<Used> requestedListing = Optional.empty();

  /** How former leaders listed it. */
  Optional<Used> inheritedListing = Optional.empty();

  /** The number of the latest listing, so that only that one takes effect. */
  long listingNumber;

  /** Whether it may run tasks of earlier epochs, if it has not reported all runs in this epoch. */
  boolean mayHoldInheritedLease;

  Worker(
      WorkerEntry entry,
      SpeedEstimator speeds,
      InheritedLeases inheritedLeases,
      TeamQuotas quotas) {
    this.quotas = quotas;
    this.entry = entry;
    this.speeds = speeds;
    this.inheritedLeases = inheritedLeases;
  }

  /** Returns whether runs of earlier epochs may be active or have ended there unreported. */
  boolean mayHaveUnreportedRuns(long nowMillis) {
    return !hasReportedAllRuns && mayHoldInheritedLease && nowMillis < leaseExpiryMillis();
  }

  /** Returns the forecast made in a pass, or null if the pass has made none. */
  Forecast forecast(SchedulingPass pass) {
    return forecastPass == pass ? forecast : null;
  }

  /** Caches the forecast made in a pass. */
  void forecast(SchedulingPass pass, Forecast newForecast) {
    forecastPass = pass;
    forecast = newForecast;
  }

  /** Returns the token of the calls for its present incarnation in an epoch. */
  long token(long epoch) {
    return (epoch << GENERATION_BITS) + generation;
  }

  /** Returns whether a former leader listed another incarnation than the given one. */
  boolean inheritedFromOther(long born) {
    return inheritedListing.filter(used -> used.incarnation() != born).isPresent();
  }

  /** Returns whether a lease of a former leader may last for the longest time that there is. */
  private boolean mayHoldStrayLease() {
    boolean listed = inheritedListing.filter(used -> used.strayLeaseUntilMillis() > 0).isPresent();
    return listed || registeredIncarnation != 0 && inheritedFromOther(registeredIncarnation);
  }

  static String key(String task, long run) {
    return task + "#" + run;
  }

  void book(Run run) {
    runs.put(key(run.taskName, run.number), run);
    booked = booked.plus(run.booked);
    quotas.booked(run);
    free = null;
    if (run.task != null) {
      tasksPerStep.merge(run.task.step.name, 1, Integer::sum);
    }
  }

  void release(Run run) {
    if (runs.remove(key(run.taskName, run.number)) == null) {
      return;
    }
    booked = booked.minus(run.booked);
    quotas.released(run);
    free = null;
    if (run.task != null) {
      tasksPerStep.computeIfPresent(
          run.task.step.name, (step, count) -> count == 1 ? null : count - 1);
    }
  }

  /** Records the worker's clock from an answer. */
  void updateClock(long clock, long nowMillis) {
    clockMillis = clock;
    clockReadMillis = nowMillis;
  }

  /** Returns the end, on the worker's clock, of a lease that begins now. */
  long leaseEnd(long nowMillis, long leaseMillis) {
    return clockMillis + (nowMillis - clockReadMillis) + leaseMillis;
  }

  /** Returns when, on the cell's clock, its lease has certainly expired. */
  long leaseExpiryMillis() {
    if (!hasAnswered) {
      return mayHoldInheritedLease
          ? inheritedLeases.endMillis(mayHoldStrayLease())
          : Long.MIN_VALUE;
    }
    double left = Math.max(0, leaseUntilMillis - clockMillis) * Cell.CLOCK_DRIFT_FACTOR;
    long expiry = clockReadMillis + (long) left + Cell.LEASE_EXPIRY_MARGIN.toMillis();
    return incarnationConfirmed ? expiry : Math.max(expiry, unconfirmedLeaseExpiryMillis);
  }

  /** Returns whether it refused a start and has answered no later renewal. */
  boolean refusedSinceRenewal() {
    return lastRefusalMillis >= 0 && lastRenewalSentMillis < lastRefusalMillis;
  }

  /** Returns whether it is durably listed with its current address and incarnation. */
  boolean listed() {
    return listing
        .filter(used -> used.address().equals(entry.address()))
        .filter(used -> used.incarnation() == incarnation)
        .filter(used -> used.strayLeaseUntilMillis() >= strayLeaseUntilMillis)
        .isPresent();
  }

  boolean unregistered() {
    return unregisteredSinceMillis >= 0;
  }

  @Override
  public String id() {
    return entry.id();
  }

  @Override
  public String rack() {
    return entry.rack();
  }

  @Override
  public ResourceVector free() {
    if (free == null) {
      ResourceVector capacity = entry.capacity();
      free =
          new ResourceVector(
              Math.max(0, capacity.millicores() - booked.millicores()),
              Math.max(0, capacity.memoryBytes() - booked.memoryBytes()),
              Math.max(0, capacity.accelerators() - booked.accelerators()));
    }
    return free;
  }

  /** Updates it from a newer registry entry. */
  void update(WorkerEntry newer) {
    entry = newer;
    unregisteredSinceMillis = -1;
    free = null;
  }

  @Override
  public boolean awaitedByGang() {
    return awaitedByGang;
  }

  @Override
  public ResourceVector capacity() {
    return entry.capacity();
  }

  @Override
  public double speed() {
    if (speedVersion != speeds.version()) {
      speedVersion = speeds.version();
      speed = speeds.speed(entry.id());
    }
    return speed;
  }

  @Override
  public int taskCount(String step) {
    return tasksPerStep.getOrDefault(step, 0);
  }
}
