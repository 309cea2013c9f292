package org.masticspread.cell.policy;

import java.util.List;
import java.util.Optional;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

/**
 * Placement of single tasks on workers.
 *
 * <p>Many short tasks run beside gangs that need several empty workers. Tasks are packed so that
 * empty workers stay empty, urgent tasks go to fast workers, and workers that a gang waits for are
 * avoided if there is an alternative. Gangs are placed by {@link GangPlan}.
 */
public final class Placement {
  /**
   * Weight of the run time for urgent tasks; a worker of half the speed is worse than an empty one.
   */
  private static final double URGENT_SPEED_WEIGHT = 4.0;

  /** Weight of the run time for other tasks; speed decides only between similarly full workers. */
  private static final double NON_URGENT_SPEED_WEIGHT = 0.6;

  /** Cost of using an empty worker, as a share of its capacity. */
  private static final double EMPTY_WORKER_COST = 0.5;

  /** Cost of delaying a gang that waits for the worker, as a share of the worker's capacity. */
  private static final double AWAITED_BY_GANG_COST = 1.0;

  private Placement() {}

  /**
   * Chooses the worker with the lowest cost for one task.
   *
   * @param workers the workers that may run the task
   * @param step the step of the task
   * @param name the full name of the step
   * @param urgent whether the job is urgent
   * @param crossRackSlowdown factor by which a task outside the rack of its data takes longer
   * @return the worker, or empty if the task fits nowhere
   */
  public static Optional<CandidateWorker> chooseWorker(
      List<? extends CandidateWorker> workers,
      StepSpec step,
      String name,
      boolean urgent,
      double crossRackSlowdown) {
    CandidateWorker best = null;
    double lowest = Double.MAX_VALUE;
    for (CandidateWorker worker : workers) {
      if (slots(worker, step, name) < 1) {
        continue;
      }
      double cost = cost(worker, step, urgent, crossRackSlowdown);
      if (cost < lowest) {
        lowest = cost;
        best = worker;
      }
    }
    return Optional.ofNullable(best);
  }

  private static double cost(
      CandidateWorker worker, StepSpec step, boolean urgent, double crossRackSlowdown) {
    double weight = urgent ? URGENT_SPEED_WEIGHT : NON_URGENT_SPEED_WEIGHT;
    double capacity = Math.max(1, worker.capacity().millicores());
    double leftoverShare = (worker.free().millicores() - step.booked().millicores()) / capacity;
    boolean empty = worker.free().equals(worker.capacity());
    double penalties =
        (empty ? EMPTY_WORKER_COST : 0) + (worker.awaitedByGang() ? AWAITED_BY_GANG_COST : 0);
    return weight * slowdown(worker, step, crossRackSlowdown) + leftoverShare + penalties;
  }

  /**
   * Returns the factor by which a task takes longer than estimated on a worker.
   *
   * @param worker the worker
   * @param step the step of the task
   * @param crossRackSlowdown factor by which a task outside the rack of its data takes longer
   * @return the factor
   */
  public static double slowdown(CandidateWorker worker, StepSpec step, double crossRackSlowdown) {
    boolean remote = !step.dataRack().isEmpty() && !step.dataRack().equals(worker.rack());
    return (remote ? crossRackSlowdown : 1.0) / worker.speed();
  }

  /**
   * Counts how many more tasks of a step fit on a worker.
   *
   * @param worker the worker
   * @param step the step
   * @param name the full name of the step
   * @return the number of tasks
   */
  public static int slots(CandidateWorker worker, StepSpec step, String name) {
    int fitting = fitCount(step.booked(), worker.free());
    if (step.mostPerWorker() == 0) {
      return fitting;
    }
    return Math.max(0, Math.min(fitting, step.mostPerWorker() - worker.taskCount(name)));
  }

  /**
   * Counts how many times a demand fits into an amount of resources.
   *
   * @param demand the demand
   * @param amount the available resources
   * @return the count, at most 1000
   */
  public static int fitCount(ResourceVector demand, ResourceVector amount) {
    long count = 1000;
    if (demand.millicores() > 0) {
      count = Math.min(count, amount.millicores() / demand.millicores());
    }
    if (demand.memoryBytes() > 0) {
      count = Math.min(count, amount.memoryBytes() / demand.memoryBytes());
    }
    if (demand.accelerators() > 0) {
      count = Math.min(count, amount.accelerators() / demand.accelerators());
    }
    return (int) count;
  }
}
