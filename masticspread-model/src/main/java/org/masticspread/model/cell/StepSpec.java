package org.masticspread.model.cell;

import java.time.Duration;
import java.util.List;
import org.masticspread.model.resource.ResourceVector;

/**
 * One step of a job: tasks that are alike.
 *
 * @param tasks how many tasks the step has
 * @param demand what each task needs of a worker
 * @param estimate a rough run time of a task, as the caller told it
 * @param after numbers, from 0, of earlier steps that must have succeeded before
 * @param checkpoints whether the tasks save checkpoints
 * @param gang whether the tasks work only when all of them run
 * @param sameRack whether the tasks are slowed down when they are spread over racks
 * @param label a label that the worker must have; empty for none
 * @param dataRack the rack that holds the data; empty for none
 * @param mostPerWorker the most tasks of one occurrence on one worker; 0 for no bound
 * @param speculative whether copies may run at the same time
 * @param lasting whether the tasks run until the job is cancelled
 * @param image names what the tasks run; tasks of one image behave alike; may be empty
 * @param tailTarget the highest tail of response times of a serving task; zero for none
 * @param fills whether the tasks live on processor time that others leave unused
 * @param mostUnavailable how many lasting tasks may be away by planned moves; 0 for no bound
 */
public record StepSpec(
    int tasks,
    ResourceVector demand,
    Duration estimate,
    List<Integer> after,
    boolean checkpoints,
    boolean gang,
    boolean sameRack,
    String label,
    String dataRack,
    int mostPerWorker,
    boolean speculative,
    boolean lasting,
    String image,
    Duration tailTarget,
    boolean fills,
    int mostUnavailable) {

  /** Copies the list. */
  public StepSpec {
    after = List.copyOf(after);
  }

  /**
   * Returns what a task takes from the capacity of a worker: a filling task takes no processors.
   *
   * @return the part of the capacity
   */
  public ResourceVector booked() {
    return fills ? new ResourceVector(0, demand.memoryBytes(), demand.accelerators()) : demand;
  }

  /**
   * Returns the work of the whole step by its estimate.
   *
   * @return core-milliseconds
   */
  public long coreMillis() {
    return tasks * demand.millicores() * estimate.toMillis() / 1000;
  }
}
