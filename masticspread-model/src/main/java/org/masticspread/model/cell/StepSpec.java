package org.masticspread.model.cell;

import java.time.Duration;
import java.util.List;
import org.masticspread.model.resource.ResourceVector;

/**
 * One step of a job, which consists of identical tasks.
 *
 * @param tasks the number of tasks
 * @param demand the resources that each task needs
 * @param estimate the approximate run time of a task, as declared by the caller
 * @param after the indexes, from 0, of earlier steps that must have succeeded before this one
 * @param checkpoints whether the tasks save checkpoints
 * @param gang whether the tasks only make progress while all of them run
 * @param sameRack whether the tasks run slower if they are spread over several racks
 * @param label the label that a worker must have; empty for none
 * @param dataRack the rack that holds the input data; empty for none
 * @param mostPerWorker the maximum number of tasks of one occurrence on a worker; 0 for no limit
 * @param speculative whether several copies of a task may run at the same time
 * @param lasting whether the tasks run until the job is cancelled
 * @param image the name of the program; tasks of the same image behave alike; may be empty
 * @param tailTarget the maximum tail latency of a serving task; zero for none
 * @param fills whether the tasks only use processor time that other tasks leave idle
 * @param mostUnavailable the maximum number of lasting tasks that planned moves may make
 *     unavailable; 0 for no limit
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
   * Returns the resources that a task occupies on a worker. A filling task occupies no processors.
   *
   * @return the occupied resources
   */
  public ResourceVector booked() {
    return fills ? new ResourceVector(0, demand.memoryBytes(), demand.accelerators()) : demand;
  }

  /**
   * Returns the estimated work of the whole step.
   *
   * @return core-milliseconds
   */
  public long coreMillis() {
    return tasks * demand.millicores() * estimate.toMillis() / 1000;
  }
}
