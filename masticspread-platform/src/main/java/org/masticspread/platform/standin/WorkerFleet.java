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
 * Workers in memory, whose tasks end by the clock.
 *
 * <p>Example: {@code WorkerFleet.clockedBy(clock).withUsageLag(Duration.ofSeconds(5)).add(worker,
 * capacity)}. Calls are named {@code worker.seal}, {@code worker.start}, {@code worker.renew} and
 * {@code worker.order}, then a slash and the worker. Thread-safe; set up before the first call.
 */
public final class WorkerFleet implements WorkerPort {
  private final InstantSource clock;
  private final Map<WorkerId, MemoryWorker> workers = new ConcurrentSkipListMap<>();
  private volatile FaultGate<WorkerException> gate = gate(Faults.none());
  private volatile TaskScript script = TaskScript.COMMAND;
  private volatile Duration usageLag = Duration.ZERO;

  private WorkerFleet(InstantSource clock) {
    this.clock = clock;
  }

  /**
   * Returns an empty fleet.
   *
   * @param clock the clock of its workers
   * @return the fleet
   */
  public static WorkerFleet clockedBy(InstantSource clock) {
    return new WorkerFleet(clock);
  }

  /**
   * Sets the script of faults.
   *
   * @param faults the script
   * @return this fleet
   */
  public WorkerFleet withFaults(Faults faults) {
    gate = gate(faults);
    return this;
  }

  /**
   * Sets what tasks do on workers that are added from now on.
   *
   * @param newScript what tasks do
   * @return this fleet
   */
  public WorkerFleet withScript(TaskScript newScript) {
    script = newScript;
    return this;
  }

  /**
   * Sets how much later usage is seen on workers that are added from now on.
   *
   * @param lag the lag
   * @return this fleet
   */
  public WorkerFleet withUsageLag(Duration lag) {
    usageLag = lag;
    return this;
  }

  /**
   * Adds a worker, unless it is there.
   *
   * @param worker the worker
   * @param capacity what it holds
   * @return this fleet
   */
  public WorkerFleet add(WorkerId worker, ResourceVector capacity) {
    workers.putIfAbsent(worker, new MemoryWorker(worker, capacity, clock, usageLag, script));
    return this;
  }

  /**
   * Lets a worker die: its tasks end and it answers nothing.
   *
   * @param worker the worker
   */
  public void kill(WorkerId worker) {
    workers.get(worker).kill();
  }

  /**
   * Lets a worker that died come back, without its tasks and without the epochs it had seen.
   *
   * @param worker the worker
   */
  public void revive(WorkerId worker) {
    workers.get(worker).revive();
  }

  /** Ends the tasks that are due; calls to a worker do so too. */
  public void tick() {
    workers.values().forEach(MemoryWorker::advance);
  }

  /**
   * Returns every run of a task as it really was, for checks.
   *
   * @return the runs; of each worker the latest 20000 that ended
   */
  public List<TaskRun> runs() {
    return workers.values().stream().flatMap(worker -> worker.runs().stream()).toList();
  }

  /**
   * Returns what the running tasks of a worker hold.
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
    FaultGate.Call<WorkerReport, WorkerException> call = () -> find(worker).seal(rackEpoch);
    return gate.run("worker.seal/" + worker, call);
  }

  @Override
  public void start(WorkerId worker, long rackEpoch, StartTask start) throws WorkerException {
    FaultGate.Call<Void, WorkerException> call = () -> find(worker).start(rackEpoch, start);
    gate.run("worker.start/" + worker, call);
  }

  @Override
  public WorkerReport renew(
      WorkerId worker, long rackEpoch, Instant leaseUntil, List<TaskAttempt> acknowledged)
      throws WorkerException {
    FaultGate.Call<WorkerReport, WorkerException> call =
        () -> find(worker).renew(rackEpoch, leaseUntil, acknowledged);
    return gate.run("worker.renew/" + worker, call);
  }

  @Override
  public void order(WorkerId worker, long rackEpoch, TaskAttempt task, TaskOrder order)
      throws WorkerException {
    FaultGate.Call<Void, WorkerException> call = () -> find(worker).order(rackEpoch, task, order);
    gate.run("worker.order/" + worker, call);
  }

  private MemoryWorker find(WorkerId worker) throws WorkerException {
    MemoryWorker found = workers.get(worker);
    if (found == null) {
      throw new WorkerException(Reason.UNREACHABLE, "worker " + worker + ": not there", null);
    }
    return found;
  }

  private static FaultGate<WorkerException> gate(Faults faults) {
    return new FaultGate<>(faults, WorkerFleet::failure);
  }

  private static WorkerException failure(boolean certainlyNotDone, String message) {
    Reason reason = certainlyNotDone ? Reason.UNREACHABLE : Reason.NO_ANSWER;
    return new WorkerException(reason, message, null);
  }
}
