package org.masticspread.cell.engine;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.masticspread.cell.policy.CandidateWorker;
import org.masticspread.cell.policy.Forecast;
import org.masticspread.cell.policy.SpeedEstimator;
import org.masticspread.cell.port.WorkerEntry;
import org.masticspread.model.resource.ResourceVector;

/** A worker as the cell knows it. Confined to the cell. */
final class Worker implements CandidateWorker {
  private final SpeedEstimator speeds;
  WorkerEntry entry;

  /** The runs that may be at work, by task name and run. */
  final Map<String, Run> runs = new LinkedHashMap<>();

  /** The learned speed, kept since each placement asks many times. */
  private double speed;

  private long speedVersion = -1;

  /** What the pass of an outlook knows of it. */
  private SchedulingPass forecastPass;

  private Forecast forecast;

  private final Map<String, Integer> tasksPerStep = new HashMap<>();
  private ResourceVector booked = ResourceVector.ZERO;

  /** What is free, kept since each placement asks many times; null when it must be counted. */
  private ResourceVector free;

  /** The life that answered last; 0 before the first answer. */
  long incarnation;

  /** Whether it has answered this epoch, and so refuses all earlier ones. */
  boolean hasAnswered;

  long lastAnswerMillis = -1;

  /** When the newest renewal was sent that it answered. */
  long lastRenewalSentMillis = -1;

  /** When it last refused a start for a reason of its own; negative before. */
  long lastRefusalMillis = -1;

  /** The worker's clock and when it was read, on the cell's clock. */
  long clockMillis;

  long clockReadMillis;

  /** The latest lease end that may have reached it, on its clock. */
  long leaseUntilMillis;

  long seenEnd;
  long acknowledgedEnd;
  boolean renewing;
  boolean renewImmediately;
  int failedRenewals;

  /** Whether the log tells that its lease expired. */
  boolean expiryLogged;

  /** When its entry vanished from the registry; negative while it is there. */
  long unregisteredSinceMillis = -1;

  /** When a gang last waited for its room. */
  long lastAwaitedMillis = Long.MIN_VALUE / 2;

  /** Whether the latest pass saw a gang wait for its room. */
  boolean awaited;

  /** The address under which the store lists it as used; empty if it does not. */
  String listedAddress = "";

  /** The address under which it is listed, or will be with a coming commit; empty if not. */
  String requestedListedAddress = "";

  /** The number of the latest listing, so that only this one takes effect. */
  long listingNumber;

  /** When all that ran on it has certainly lapsed, if it never answered this epoch. */
  long inheritedLeaseEndMillis;

  Worker(WorkerEntry entry, SpeedEstimator speeds) {
    this.entry = entry;
    this.speeds = speeds;
  }

  /** Returns its forecast in a pass, if the pass has made one. */
  Forecast forecast(SchedulingPass pass) {
    return forecastPass == pass ? forecast : null;
  }

  /** Keeps its forecast for a pass. */
  void forecast(SchedulingPass pass, Forecast made) {
    forecastPass = pass;
    forecast = made;
  }

  static String key(String task, long run) {
    return task + "#" + run;
  }

  void book(Run run) {
    runs.put(key(run.taskName, run.number), run);
    booked = booked.plus(run.booked);
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
    free = null;
    if (run.task != null) {
      tasksPerStep.computeIfPresent(
          run.task.step.name, (step, count) -> count == 1 ? null : count - 1);
    }
  }

  /** Notes what the worker's clock showed in an answer. */
  void updateClock(long clock, long nowMillis) {
    clockMillis = clock;
    clockReadMillis = nowMillis;
  }

  /** Returns the lease end on the worker's clock for a lease that begins now. */
  long leaseEnd(long nowMillis, long leaseMillis) {
    return clockMillis + (nowMillis - clockReadMillis) + leaseMillis;
  }

  /** Returns when, on the cell's clock, the newest lease has certainly expired. */
  long leaseExpiryMillis() {
    if (!hasAnswered) {
      return inheritedLeaseEndMillis;
    }
    double left = Math.max(0, leaseUntilMillis - clockMillis) * Cell.CLOCK_DRIFT_FACTOR;
    return clockReadMillis + (long) left + Cell.LEASE_EXPIRY_MARGIN.toMillis();
  }

  /** Tells whether it refused a start and has answered no renewal since. */
  boolean refusedSinceRenewal() {
    return lastRefusalMillis >= 0 && lastRenewalSentMillis < lastRefusalMillis;
  }

  /** Tells whether a later leader would find it without the registry. */
  boolean listed() {
    return listedAddress.equals(entry.address());
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

  /** Takes in a newer entry of the registry. */
  void update(WorkerEntry newer) {
    entry = newer;
    unregisteredSinceMillis = -1;
    free = null;
  }

  @Override
  public boolean awaitedByGang() {
    return awaited;
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
