package org.masticspread.cell.policy;

import java.util.List;
import java.util.Optional;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

/**
 * Chooses workers for single tasks.
 *
 * <p>Answers the load of many short checks beside gangs that need several whole workers: tasks go
 * where they leave whole workers free, urgent ones to fast workers, and none where a gang waits for
 * room if there is a choice. Gangs have a {@link GangPlan}.
 */
public final class Placement {
  /** Weighs run time against packing: a worker at half the speed is worse than an empty one. */
  private static final double URGENT_SPEED_WEIGHT = 4.0;

  /** For tasks that may wait, speed decides only between workers that are about as full. */
  private static final double PATIENT_SPEED_WEIGHT = 0.6;

  /** The cost of opening an empty worker, in shares of its capacity. */
  private static final double EMPTY_WORKER_COST = 0.5;

  /** The cost of putting off a gang that waits for the worker, in shares of its capacity. */
  private static final double AWAITED_COST = 1.0;

  private Placement() {}

  /**
   * Chooses a worker for one task.
   *
   * @param rooms the workers that may run it
   * @param step the step
   * @param name the full name of the step
   * @param urgent whether its job is urgent
   * @param farSlowdown how many times longer a task takes away from its data
   * @return the worker, or empty if none has room
   */
  public static Optional<CandidateWorker> chooseWorker(
      List<? extends CandidateWorker> rooms,
      StepSpec step,
      String name,
      boolean urgent,
      double farSlowdown) {
    CandidateWorker best = null;
    double lowest = Double.MAX_VALUE;
    for (CandidateWorker room : rooms) {
      if (slots(room, step, name) < 1) {
        continue;
      }
      double cost = cost(room, step, urgent, farSlowdown);
      if (cost < lowest) {
        lowest = cost;
        best = room;
      }
    }
    return Optional.ofNullable(best);
  }

  private static double cost(
      CandidateWorker room, StepSpec step, boolean urgent, double farSlowdown) {
    double weight = urgent ? URGENT_SPEED_WEIGHT : PATIENT_SPEED_WEIGHT;
    double capacity = Math.max(1, room.capacity().millicores());
    double left = (room.free().millicores() - step.booked().millicores()) / capacity;
    boolean empty = room.free().equals(room.capacity());
    double others = (empty ? EMPTY_WORKER_COST : 0) + (room.awaitedByGang() ? AWAITED_COST : 0);
    return weight * slowdown(room, step, farSlowdown) + left + others;
  }

  /**
   * Tells how many times longer than estimated a task takes on a worker.
   *
   * @param room the worker
   * @param step the step
   * @param farSlowdown how many times longer a task takes away from its data
   * @return the factor
   */
  public static double slowdown(CandidateWorker room, StepSpec step, double farSlowdown) {
    boolean far = !step.dataRack().isEmpty() && !step.dataRack().equals(room.rack());
    return (far ? farSlowdown : 1.0) / room.speed();
  }

  /**
   * Counts how many more tasks of a step a worker has room for.
   *
   * @param room the worker
   * @param step the step
   * @param name the full name of the step
   * @return how many
   */
  public static int slots(CandidateWorker room, StepSpec step, String name) {
    int fitting = times(step.booked(), room.free());
    if (step.mostPerWorker() == 0) {
      return fitting;
    }
    return Math.max(0, Math.min(fitting, step.mostPerWorker() - room.taskCount(name)));
  }

  /**
   * Counts how often a demand fits into an amount.
   *
   * @param demand the demand
   * @param amount the amount
   * @return how often, at most 1000
   */
  public static int times(ResourceVector demand, ResourceVector amount) {
    long most = 1000;
    if (demand.millicores() > 0) {
      most = Math.min(most, amount.millicores() / demand.millicores());
    }
    if (demand.memoryBytes() > 0) {
      most = Math.min(most, amount.memoryBytes() / demand.memoryBytes());
    }
    if (demand.accelerators() > 0) {
      most = Math.min(most, amount.accelerators() / demand.accelerators());
    }
    return (int) most;
  }
}
