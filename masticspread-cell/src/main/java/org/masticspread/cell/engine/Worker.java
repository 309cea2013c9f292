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

  private long speedChanges = -1;

  /** What the pass of an outlook knows of it. */
  private Outlook lookedAtBy;

  private Forecast forecast;

  private final Map<String, Integer> perStep = new HashMap<>();
  private ResourceVector booked = ResourceVector.ZERO;

  /** What is free, kept since each placement asks many times; null when it must be counted. */
  private ResourceVector free;

  /** The life that answered last; 0 before the first answer. */
  long life;

  /** Whether it has answered this epoch, and so refuses all earlier ones. */
  boolean heard;

  long heardMillis = -1;

  /** When the newest renewal was sent that it answered. */
  long renewedMillis = -1;

  /** When it last refused a start for a reason of its own; negative before. */
  long refusedMillis = -1;

  /** The worker's clock and when it was read, on the cell's clock. */
  long clockMillis;

  long clockReadMillis;

  /** The latest lease end that may have reached it, on its clock. */
  long leaseUntilMillis;

  long seenEnd;
  long acknowledgedEnd;
  boolean renewing;
  boolean renewSoon;
  int failedRenewals;

  /** Whether the log tells that its lease expired. */
  boolean lapseTold;

  /** When its entry vanished from the registry; negative while it is there. */
  long missingSinceMillis = -1;

  /** When a gang last waited for its room. */
  long awaitedMillis = Long.MIN_VALUE / 2;

  /** Whether the latest pass saw a gang wait for its room. */
  boolean awaited;

  /** The address under which the store lists it as used; empty if it does not. */
  String listedAddress = "";

  /** The address under which it is listed, or will be with a coming commit; empty if not. */
  String listingAddress = "";

  /** The number of the latest listing, so that only this one takes effect. */
  long listing;

  /** When all that ran on it has certainly lapsed, if it never answered this epoch. */
  long unheardUntilMillis;

  Worker(WorkerEntry entry, SpeedEstimator speeds) {
    this.entry = entry;
    this.speeds = speeds;
  }

  /** Returns its forecast in a pass, if the pass has made one. */
  Forecast forecast(Outlook pass) {
    return lookedAtBy == pass ? forecast : null;
  }

  /** Keeps its forecast for a pass. */
  void forecast(Outlook pass, Forecast made) {
    lookedAtBy = pass;
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
      perStep.merge(run.task.step.name, 1, Integer::sum);
    }
  }

  void release(Run run) {
    if (runs.remove(key(run.taskName, run.number)) == null) {
      return;
    }
    booked = booked.minus(run.booked);
    free = null;
    if (run.task != null) {
      perStep.computeIfPresent(run.task.step.name, (step, count) -> count == 1 ? null : count - 1);
    }
  }

  /** Notes what the worker's clock showed in an answer. */
  void readClock(long clock, long nowMillis) {
    clockMillis = clock;
    clockReadMillis = nowMillis;
  }

  /** Returns the lease end on the worker's clock for a lease that begins now. */
  long leaseEnd(long nowMillis, long leaseMillis) {
    return clockMillis + (nowMillis - clockReadMillis) + leaseMillis;
  }

  /** Returns when, on the cell's clock, the newest lease has certainly expired. */
  long lapsesAtMillis() {
    if (!heard) {
      return unheardUntilMillis;
    }
    double left = Math.max(0, leaseUntilMillis - clockMillis) * Cell.SLOWEST_CLOCK;
    return clockReadMillis + (long) left + Cell.LAPSE_MARGIN.toMillis();
  }

  /** Tells whether it refused a start and has answered no renewal since. */
  boolean refuses() {
    return refusedMillis >= 0 && renewedMillis < refusedMillis;
  }

  /** Tells whether a later leader would find it without the registry. */
  boolean listed() {
    return listedAddress.equals(entry.address());
  }

  boolean gone() {
    return missingSinceMillis >= 0;
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
    missingSinceMillis = -1;
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
    if (speedChanges != speeds.version()) {
      speedChanges = speeds.version();
      speed = speeds.speed(entry.id());
    }
    return speed;
  }

  @Override
  public int taskCount(String step) {
    return perStep.getOrDefault(step, 0);
  }
}
