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

/** The state of one scheduling pass: the usable workers, and forecasts for those that gangs use. */
final class SchedulingPass {
  /**
   * How long a worker counts as awaited after a gang last reserved its capacity; longer than the
   * interval between two passes.
   */
  private static final Duration AWAITED_PERIOD = Duration.ofMillis(100);

  /**
   * Share of the capacity that waiting gangs may keep idle. Load test results for values between
   * 0.04 and 0.2 differ less than from seed to seed; without a limit, a fifth was kept idle.
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

  /** Returns the start of the pass; runs that should end during the pass count as running. */
  long nowMillis() {
    return nowMillis;
  }

  List<Worker> usableWorkers(QueueRule queue) {
    return usableWorkers(queue.endpoint());
  }

  List<Worker> usableWorkers(String endpoint) {
    return workersByEndpoint.computeIfAbsent(endpoint, this::loadUsableWorkers);
  }

  private List<Worker> loadUsableWorkers(String endpoint) {
    List<Worker> workers = fleet.usable(endpoint);
    workers.forEach(
        w -> w.awaitedByGang = nowMillis - w.lastAwaitedMillis < AWAITED_PERIOD.toMillis());
    return workers;
  }

  /**
   * Reserves the capacity of a plan, unless gangs served earlier keep too much capacity idle.
   *
   * @return whether it was reserved
   */
  boolean tryReserve(GangPlan plan, StepSpec step, QueueRule queue) {
    if (reservedIdleMillicores > MAX_IDLE_SHARE * capacityMillicores(queue)) {
      return false;
    }
    reserve(plan, step);
    return true;
  }

  /** Reserves the capacity of a plan, whatever other gangs keep idle. */
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

  /** Returns whether a queue may use a worker, by the configuration in force. */
  boolean usable(QueueRule queue, Worker worker) {
    return worker.entry.endpoint().equals(queue.endpoint())
        && usableCache.computeIfAbsent(worker, fleet::usable);
  }

  /** Returns the forecast of a worker, including all starts and reservations of this pass. */
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

  /** Returns whether a task can start on a worker without delaying a gang that waits for it. */
  boolean admits(Worker worker, ResourceVector amount, long untilMillis) {
    Forecast forecast = worker.forecast(this);
    return forecast == null || forecast.admits(amount, untilMillis);
  }

  /** Records that a task was started. */
  void recordStart(Worker worker, ResourceVector amount, long untilMillis) {
    Forecast forecast = worker.forecast(this);
    if (forecast != null) {
      forecast.start(amount, untilMillis);
    }
  }
}
