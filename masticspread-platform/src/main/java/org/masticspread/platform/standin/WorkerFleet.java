package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerException.Reason;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.resource.ResourceVector;

/**
 * A set of in-memory workers whose tasks end by a given clock.
 *
 * <p>Example: {@code WorkerFleet.clockedBy(clock).withUsageLag(Duration.ofSeconds(5)).add(worker,
 * capacity)}. In the fault script, calls are named {@code worker.seal/WORKER}, {@code
 * worker.start/WORKER}, {@code worker.renew/WORKER} and {@code worker.order/WORKER}. Thread-safe,
 * but must be configured before the first call.
 */
public final class WorkerFleet implements WorkerPort {
  private final InstantSource clock;
  private final Map<WorkerId, MemoryWorker> workers = new ConcurrentSkipListMap<>();
  private volatile FaultInjector<WorkerException> injector = injector(Faults.none());
  private volatile TaskScript script = TaskScript.COMMAND;
  private volatile Duration usageLag = Duration.ZERO;

  private WorkerFleet(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Returns an empty fleet.
   *
   * @param clock the clock of the workers
   * @return the fleet
   */
  public static WorkerFleet clockedBy(InstantSource clock) {
    return new WorkerFleet(clock);
  }

  /**
   * Sets the script of faults to inject.
   *
   * @param faults the script
   * @return this fleet
   */
  public WorkerFleet withFaults(Faults faults) {
    injector = injector(faults);
    return this;
  }

  /**
   * Sets the behaviour of tasks on workers that are added from now on.
   *
   * @param newScript the behaviour
   * @return this fleet
   */
  public WorkerFleet withScript(TaskScript newScript) {
    script = newScript;
    return this;
  }

  /**
   * Sets the lag of reported usage on workers that are added from now on.
   *
   * @param lag the lag
   * @return this fleet
   */
  public WorkerFleet withUsageLag(Duration lag) {
    usageLag = lag;
    return this;
  }

  /**
   * Adds a worker unless it exists.
   *
   * @param worker the worker
   * @param capacity the capacity of the worker
   * @return this fleet
   */
  public WorkerFleet add(WorkerId worker, ResourceVector capacity) {
    workers.putIfAbsent(worker, new MemoryWorker(worker, capacity, clock, usageLag, script));
    return this;
  }

  /**
   * Kills a worker: its tasks end and it is unreachable.
   *
   * @param worker the worker
   */
  public void kill(WorkerId worker) {
    workers.get(worker).kill();
  }

  /**
   * Restarts a killed worker, without its earlier tasks and epochs.
   *
   * @param worker the worker
   */
  public void revive(WorkerId worker) {
    workers.get(worker).revive();
  }

  /** Ends the tasks that are due, as does every call to a worker. */
  public void tick() {
    workers.values().forEach(MemoryWorker::advance);
  }

  /**
   * Returns the runs of tasks that actually started, for checks.
   *
   * @return the present runs and, for each worker, the latest 20000 past runs
   */
  public List<TaskRun> runs() {
    return workers.values().stream().flatMap(worker -> worker.runs().stream()).toList();
  }

  /**
   * Returns the resources that the running tasks of a worker hold.
   *
   * @param worker the worker
   * @return the sum of their sizes
   */
  public ResourceVector held(WorkerId worker) {
    MemoryWorker found = workers.get(worker);
    found.advance();
    return found.held();
  }

  @Override
  public WorkerReport seal(WorkerId worker, long rackEpoch) throws WorkerException {
    FaultInjector.Call<WorkerReport, WorkerException> call = () -> find(worker).seal(rackEpoch);
    return injector.run("worker.seal/" + worker, call);
  }

  @Override
  public void start(WorkerId worker, long rackEpoch, StartTask start) throws WorkerException {
    FaultInjector.Call<Void, WorkerException> call = () -> find(worker).start(rackEpoch, start);
    injector.run("worker.start/" + worker, call);
  }

  @Override
  public WorkerReport renew(
      WorkerId worker, long rackEpoch, Instant leaseUntil, List<TaskAttempt> acknowledged)
      throws WorkerException {
    FaultInjector.Call<WorkerReport, WorkerException> call =
        () -> find(worker).renew(rackEpoch, leaseUntil, acknowledged);
    return injector.run("worker.renew/" + worker, call);
  }

  @Override
  public void order(WorkerId worker, long rackEpoch, TaskAttempt task, TaskOrder order)
      throws WorkerException {
    FaultInjector.Call<Void, WorkerException> call =
        () -> find(worker).order(rackEpoch, task, order);
    injector.run("worker.order/" + worker, call);
  }

  private MemoryWorker find(WorkerId worker) throws WorkerException {
    MemoryWorker found = workers.get(worker);
    if (found == null) {
      throw new WorkerException(Reason.UNREACHABLE, "worker " + worker + ": does not exist", null);
    }
    return found;
  }

  private static FaultInjector<WorkerException> injector(Faults faults) {
    return new FaultInjector<>(faults, WorkerFleet::failure);
  }

  private static WorkerException failure(boolean certainlyNotDone, String message) {
    Reason reason = certainlyNotDone ? Reason.UNREACHABLE : Reason.NO_ANSWER;
    return new WorkerException(reason, message, null);
  }
}
