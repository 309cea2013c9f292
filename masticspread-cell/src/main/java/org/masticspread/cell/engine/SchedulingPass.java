package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.cell.policy.CandidateWorker;
import org.masticspread.cell.policy.Forecast;
import org.masticspread.cell.policy.GangPlan;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

/** The usable workers of one pass, and the forecasts of those that gangs wait for. */
final class SchedulingPass {
  /** Longer than between two passes. */
  private static final Duration AWAITED_PERIOD = Duration.ofMillis(100);

  /**
   * The part of the capacity that gangs may keep idle while they wait. Between 0.04 and 0.2 the
   * load tests differ less than from seed to seed; without a bound a fifth was kept idle.
   */
  private static final double MAX_IDLE_SHARE = 0.1;

  private final Fleet fleet;
  private final long nowMillis;
  private final Map<String, List<Worker>> workersByEndpoint = new HashMap<>();
  private final Map<Worker, Boolean> usableCache = new HashMap<>();
  private double reservedIdleMillicores;

  SchedulingPass(Fleet fleet, long nowMillis) {
    this.fleet = fleet;
    this.nowMillis = nowMillis;
  }

  /** Returns the moment of the pass: what ends while the pass goes on still counts as running. */
  long nowMillis() {
    return nowMillis;
  }

  List<Worker> usableWorkers(QueueRule queue) {
    return workersByEndpoint.computeIfAbsent(queue.endpoint(), this::loadUsableWorkers);
  }

  private List<Worker> loadUsableWorkers(String endpoint) {
    List<Worker> workers = fleet.usable(endpoint);
    workers.forEach(w -> w.awaited = nowMillis - w.lastAwaitedMillis < AWAITED_PERIOD.toMillis());
    return workers;
  }

  /**
   * Keeps the room of a plan, unless gangs before it keep too much idle already.
   *
   * @return whether it is kept
   */
  boolean tryReserve(GangPlan plan, StepSpec step, QueueRule queue) {
    if (reservedIdleMillicores > MAX_IDLE_SHARE * capacityMillicores(queue)) {
      return false;
    }
    reserve(plan, step);
    return true;
  }

  /** Keeps the room of a plan that starts as soon as its tickets are there. */
  void reserve(GangPlan plan, StepSpec step) {
    for (CandidateWorker candidate : plan.workers()) {
      Worker worker = (Worker) candidate;
      reservedIdleMillicores += Math.max(0, worker.free().millicores());
      worker.lastAwaitedMillis = nowMillis;
    }
    plan.reserve(step);
  }

  private double capacityMillicores(QueueRule queue) {
    return usableWorkers(queue).stream().mapToLong(worker -> worker.capacity().millicores()).sum();
  }

  /** Tells whether a queue may use a worker, by the configuration in force. */
  boolean usable(QueueRule queue, Worker worker) {
    return worker.entry.endpoint().equals(queue.endpoint())
        && usableCache.computeIfAbsent(worker, fleet::usable);
  }

  /** Returns the forecast of a worker, with all that this pass has started and reserved there. */
  Forecast forecastOf(Worker worker) {
    Forecast cached = worker.forecast(this);
    if (cached == null) {
      cached = forecast(worker);
      worker.forecast(this, cached);
    }
    return cached;
  }

  private Forecast forecast(Worker worker) {
    List<Forecast.Release> releases = new ArrayList<>();
    for (Run run : worker.runs.values()) {
      releases.add(new Forecast.Release(run.expectedEndMillis(nowMillis), run.booked));
    }
    return new Forecast(worker, nowMillis, releases);
  }

  /** Tells whether a task that has room on a worker delays no gang that waits for it. */
  boolean admits(Worker worker, ResourceVector amount, long untilMillis) {
    Forecast forecast = worker.forecast(this);
    return forecast == null || forecast.admits(amount, untilMillis);
  }

  /** Notes that a task was started. */
  void recordStart(Worker worker, ResourceVector amount, long untilMillis) {
    Forecast forecast = worker.forecast(this);
    if (forecast != null) {
      forecast.start(amount, untilMillis);
    }
  }
}
