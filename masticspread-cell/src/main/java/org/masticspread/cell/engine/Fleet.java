package org.masticspread.cell.engine;

import java.time.Duration;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.masticspread.cell.journal.UsedWorkersRecord.Used;
import org.masticspread.cell.log.EventLog;
import org.masticspread.cell.policy.SpeedEstimator;
import org.masticspread.cell.policy.WorkerQuarantine;
import org.masticspread.cell.port.WorkerEntry;

/**
 * The workers of a cell, as known from the registry and from their answers. Confined to the cell's
 * thread.
 */
final class Fleet {
  /**
   * Silence after which a worker gets no new task. It exceeds the second for which a worker may
   * hold a renewal.
   */
  private static final Duration MAX_SILENCE = Duration.ofMillis(1600);

  /**
   * Share of an endpoint's workers above which quarantined workers are used nevertheless: several
   * jobs that always fail are more likely than so many faulty workers.
   */
  private static final double MAX_QUARANTINED_SHARE = 0.5;

  /** How long the decision on exempt endpoints is cached. */
  private static final Duration EXEMPTION_CHECK_INTERVAL = Duration.ofMillis(100);

  final SpeedEstimator speeds = new SpeedEstimator();
  final WorkerQuarantine quarantine = new WorkerQuarantine();
  private final Map<String, Worker> workers = new LinkedHashMap<>();

  /** The endpoints whose workers are used despite their quarantine. */
  private final Set<String> exemptEndpoints = new HashSet<>();

  private long exemptionsCheckedMillis = Long.MIN_VALUE / 2;

  private final InstantSource clock;
  private final EventLog log;
  private final InheritedLeases inheritedLeases;
  private final TeamQuotas quotas;

  Fleet(InstantSource clock, EventLog log, InheritedLeases inheritedLeases, TeamQuotas quotas) {
    this.quotas = quotas;
    this.clock = clock;
    this.log = log;
    this.inheritedLeases = inheritedLeases;
  }

  Collection<Worker> all() {
    return workers.values();
  }

  Optional<Worker> find(String id) {
    return Optional.ofNullable(workers.get(id));
  }

  /** Adds or updates a worker from its registry entry; returns the worker if it is new. */
  Optional<Worker> register(WorkerEntry entry) {
    Worker known = workers.get(entry.id());
    if (known == null) {
      Worker worker = new Worker(entry, speeds, inheritedLeases, quotas);
      workers.put(entry.id(), worker);
      log.event("worker-registered", entry.id(), "dc", entry.dataCentre(), "rack", entry.rack());
      return Optional.of(worker);
    }
    if (known.entry.draining() != entry.draining()) {
      log.event("worker-draining", entry.id(), "draining", entry.draining());
    }
    known.update(entry);
    return Optional.empty();
  }

  /** Adds a worker that an earlier leader used and that is not in the registry. */
  void addUnregistered(Used used) {
    WorkerEntry entry =
        new WorkerEntry(
            used.id(), "", used.address(), "", "", List.of(), used.capacity(), false, 0, "");
    Worker worker = new Worker(entry, speeds, inheritedLeases, quotas);
    worker.unregisteredSinceMillis = clock.millis();
    workers.put(used.id(), worker);
    log.event("worker-entry-missing", used.id(), "address", used.address());
  }

  void unregister(String id) {
    Worker worker = workers.get(id);
    if (worker != null && !worker.unregistered()) {
      worker.unregisteredSinceMillis = clock.millis();
      log.event("worker-unregistered", id, "runs", worker.runs.size());
    }
  }

  void remove(Worker worker) {
    workers.remove(worker.id());
    speeds.forget(worker.id());
  }

  /** Returns the workers of an endpoint that may get a new task. */
  List<Worker> usable(String endpoint) {
    List<Worker> usable = new ArrayList<>();
    for (Worker worker : workers.values()) {
      if (worker.entry.endpoint().equals(endpoint) && usable(worker)) {
        usable.add(worker);
      }
    }
    return usable;
  }

  boolean usable(Worker worker) {
    return worker.listed() && healthy(worker);
  }

  private boolean healthy(Worker worker) {
    long now = clock.millis();
    if (!worker.incarnationConfirmed || worker.unregistered() || worker.entry.draining()) {
      return false;
    }
    if (worker.mayHaveMoreEnded) {
      // The ends of further tasks would not be listed before the present ones are durable.
      return false;
    }
    if (now - worker.lastAnswerMillis > MAX_SILENCE.toMillis() || worker.failedRenewals > 0) {
      return false;
    }
    return !worker.refusedSinceRenewal()
        && (trusted(worker, now) || exemptFromQuarantine(worker.entry.endpoint(), now));
  }

  /**
   * Returns whether a worker is not quarantined and, on probation, makes progress with all of its
   * runs.
   */
  private boolean trusted(Worker worker, long now) {
    if (!quarantine.usable(worker.id(), now)) {
      return false;
    }
    return !quarantine.onProbation(worker.id())
        || worker.runs.values().stream().allMatch(run -> run.proven(now));
  }

  /**
   * Returns whether so many workers of an endpoint are quarantined that jobs are the likely cause.
   */
  private boolean exemptFromQuarantine(String endpoint, long now) {
    if (now - exemptionsCheckedMillis >= EXEMPTION_CHECK_INTERVAL.toMillis()) {
      exemptionsCheckedMillis = now;
      updateExemptions(now);
    }
    return exemptEndpoints.contains(endpoint);
  }

  private void updateExemptions(long now) {
    Map<String, Integer> all = new HashMap<>();
    Map<String, Integer> quarantined = new HashMap<>();
    for (Worker worker : workers.values()) {
      if (worker.unregistered() || worker.entry.draining()) {
        continue;
      }
      String endpoint = worker.entry.endpoint();
      all.merge(endpoint, 1, Integer::sum);
      quarantined.merge(endpoint, trusted(worker, now) ? 0 : 1, Integer::sum);
    }
    all.forEach((endpoint, count) -> updateExemption(endpoint, quarantined.get(endpoint), count));
  }

  private void updateExemption(String endpoint, int quarantined, int count) {
    boolean exempt = quarantined > MAX_QUARANTINED_SHARE * count;
    boolean changed = exempt ? exemptEndpoints.add(endpoint) : exemptEndpoints.remove(endpoint);
    if (changed) {
      log.event(
          "workers-aside-used", endpoint, "used", exempt, "aside", quarantined, "workers", count);
    }
  }

  /** Returns whether tasks of an earlier epoch may run or have ended unreported on a worker. */
  boolean mayHaveUnreportedRuns() {
    long now = clock.millis();
    return workers.values().stream().anyMatch(w -> w.mayHaveUnreportedRuns(now));
  }

  /** Returns the speed-weighted capacity of an endpoint's workers that counts for admission. */
  long capacityMillicores(String endpoint) {
    double sum = 0;
    for (Worker worker : workers.values()) {
      if (worker.entry.endpoint().equals(endpoint) && countsAsCapacity(worker)) {
        sum += worker.capacity().millicores() * worker.speed();
      }
    }
    return (long) sum;
  }

  /**
   * Returns whether the capacity of a worker counts for admission. Workers that have not answered a
   * new leader yet are included, since none has right after a takeover.
   */
  private boolean countsAsCapacity(Worker worker) {
    boolean expected = !worker.unregistered() && worker.mayHaveUnreportedRuns(clock.millis());
    return expected || healthy(worker);
  }

  /** Returns the free share of the usable capacity in thousandths. */
  int freePermille(boolean awaitedOnly) {
    long capacity = 0;
    long free = 0;
    for (Worker worker : workers.values()) {
      if (usable(worker)) {
        capacity += worker.capacity().millicores();
        free += awaitedOnly && !worker.awaitedByGang() ? 0 : worker.free().millicores();
      }
    }
    return capacity == 0 ? 0 : (int) (1000 * free / capacity);
  }

  /**
   * Returns the speed-weighted free capacity of an endpoint's workers that counts for admission.
   */
  long freeMillicores(String endpoint) {
    double sum = 0;
    for (Worker worker : workers.values()) {
      if (worker.entry.endpoint().equals(endpoint) && countsAsCapacity(worker)) {
        sum += worker.free().millicores() * worker.speed();
      }
    }
    return (long) sum;
  }
}
