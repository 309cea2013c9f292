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
final class Outlook {
  /** Longer than between two passes. */
  private static final Duration AWAITED = Duration.ofMillis(100);

  /**
   * The part of the capacity that gangs may keep idle while they wait. Between 0.04 and 0.2 the
   * load tests differ less than from seed to seed; without a bound a fifth was kept idle.
   */
  private static final double MOST_IDLE = 0.1;

  private final Fleet fleet;
  private final long nowMillis;
  private final Map<String, List<Worker>> usable = new HashMap<>();
  private final Map<Worker, Boolean> usableNow = new HashMap<>();
  private double idleMillicores;

  Outlook(Fleet fleet, long nowMillis) {
    this.fleet = fleet;
    this.nowMillis = nowMillis;
  }

  /** Returns the moment of the pass: what ends while the pass goes on still counts as running. */
  long nowMillis() {
    return nowMillis;
  }

  List<Worker> workers(QueueRule queue) {
    return usable.computeIfAbsent(queue.endpoint(), this::lookedAt);
  }

  private List<Worker> lookedAt(String endpoint) {
    List<Worker> workers = fleet.usable(endpoint);
    workers.forEach(w -> w.awaited = nowMillis - w.awaitedMillis < AWAITED.toMillis());
    return workers;
  }

  /**
   * Keeps the room of a plan, unless gangs before it keep too much idle already.
   *
   * @return whether it is kept
   */
  boolean keep(GangPlan plan, StepSpec step, QueueRule queue) {
    if (idleMillicores > MOST_IDLE * capacityMillicores(queue)) {
      return false;
    }
    claim(plan, step);
    return true;
  }

  /** Keeps the room of a plan that starts as soon as its tickets are there. */
  void claim(GangPlan plan, StepSpec step) {
    for (CandidateWorker candidate : plan.workers()) {
      Worker worker = (Worker) candidate;
      idleMillicores += Math.max(0, worker.free().millicores());
      worker.awaitedMillis = nowMillis;
    }
    plan.reserve(step);
  }

  private double capacityMillicores(QueueRule queue) {
    return workers(queue).stream().mapToLong(worker -> worker.capacity().millicores()).sum();
  }

  /** Tells whether a queue may use a worker, by the configuration in force. */
  boolean usable(QueueRule queue, Worker worker) {
    return worker.entry.endpoint().equals(queue.endpoint())
        && usableNow.computeIfAbsent(worker, fleet::usable);
  }

  /** Returns the forecast of a worker, with all that this pass has started and reserved there. */
  Forecast of(Worker worker) {
    Forecast known = worker.forecast(this);
    if (known == null) {
      known = forecast(worker);
      worker.forecast(this, known);
    }
    return known;
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
  void started(Worker worker, ResourceVector amount, long untilMillis) {
    Forecast forecast = worker.forecast(this);
    if (forecast != null) {
      forecast.start(amount, untilMillis);
    }
  }
}
