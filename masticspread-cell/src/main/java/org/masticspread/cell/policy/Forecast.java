package org.masticspread.cell.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

/**
 * A forecast of the free capacity of one worker, less the reservations of waiting gangs.
 *
 * <p>Gangs compete with a stream of smaller tasks. While a gang waits until there is capacity for
 * all its tasks, smaller tasks may use the reserved capacity if they end before the gang starts, or
 * use capacity beyond the reservation (backfilling).
 *
 * <pre>{@code
 * Forecast forecast = new Forecast(worker, now, releases);
 * int tasks = forecast.slotsAt(step, name, now + 500);
 * forecast.reserve(step.booked(), tasks, now + 500, now + 4500);
 * boolean mayStart = forecast.admits(small, now + 300);
 * }</pre>
 */
public final class Forecast {
  private final CandidateWorker worker;
  private final long nowMillis;
  private final double speed;
  private final List<Release> releases;
  private final List<Long> reservedStartMillis = new ArrayList<>();
  private long millicores;
  private long memoryBytes;
  private long accelerators;

  /**
   * Resources that a running task is expected to release.
   *
   * @param atMillis the expected time, on the cell's clock
   * @param amount the released resources
   */
  public record Release(long atMillis, ResourceVector amount) {}

  /**
   * Creates a forecast without reservations.
   *
   * @param worker the worker
   * @param nowMillis the current time, on the cell's clock
   * @param releases the expected releases of the running tasks, in any order
   */
  public Forecast(CandidateWorker worker, long nowMillis, List<Release> releases) {
    this.worker = worker;
    this.nowMillis = nowMillis;
    this.speed = worker.speed();
    this.releases = new ArrayList<>();
    for (Release release : releases) {
      // An overdue run still holds its resources.
      long atMillis = Math.max(release.atMillis, nowMillis + 1);
      this.releases.add(new Release(atMillis, release.amount));
    }
    this.releases.sort(Comparator.comparingLong(Release::atMillis));
    this.millicores = worker.free().millicores();
    this.memoryBytes = worker.free().memoryBytes();
    this.accelerators = worker.free().accelerators();
  }

  /**
   * Returns the worker.
   *
   * @return the worker
   */
  public CandidateWorker worker() {
    return worker;
  }

  /**
   * Returns the learned speed of the worker.
   *
   * @return the speed; 1 if tasks take as long as estimated
   */
  public double speed() {
    return speed;
  }

  /**
   * Returns the expected releases of resources.
   *
   * @return the releases, earliest first
   */
  public List<Release> releases() {
    return releases;
  }

  /**
   * Counts how many tasks of a step fit at a given time.
   *
   * @param step the step
   * @param name the full name of the step
   * @param atMillis the time, on the cell's clock
   * @return the number of tasks
   */
  public int slotsAt(StepSpec step, String name, long atMillis) {
    ResourceVector free = freeAt(ResourceVector.ZERO, atMillis);
    if (free == null) {
      return 0;
    }
    int fitting = Placement.fitCount(step.booked(), free);
    int max = step.mostPerWorker();
    return max == 0 ? fitting : Math.max(0, Math.min(fitting, max - worker.taskCount(name)));
  }

  /**
   * Reserves capacity for tasks that start later.
   *
   * @param perTask the demand of each task
   * @param tasks the number of tasks
   * @param fromMillis the planned start
   * @param untilMillis the expected end
   */
  public void reserve(ResourceVector perTask, int tasks, long fromMillis, long untilMillis) {
    allocate(perTask.times(tasks), untilMillis);
    reservedStartMillis.add(fromMillis);
  }

  /**
   * Records that a task started now.
   *
   * @param amount the demand of the task
   * @param untilMillis the expected end
   */
  public void start(ResourceVector amount, long untilMillis) {
    allocate(amount, untilMillis);
  }

  private void allocate(ResourceVector amount, long endMillis) {
    millicores -= amount.millicores();
    memoryBytes -= amount.memoryBytes();
    accelerators -= amount.accelerators();
    long untilMillis = Math.max(endMillis, nowMillis + 1);
    int index = 0;
    while (index < releases.size() && releases.get(index).atMillis <= untilMillis) {
      index++;
    }
    releases.add(index, new Release(untilMillis, amount));
  }

  /**
   * Returns whether a task that fits now can start without delaying a reservation.
   *
   * @param amount the demand of the task
   * @param untilMillis the expected end of the task
   * @return whether the task may start
   */
  public boolean admits(ResourceVector amount, long untilMillis) {
    for (long startMillis : reservedStartMillis) {
      if (untilMillis > startMillis && freeAt(amount, Math.max(startMillis, nowMillis)) == null) {
        return false;
      }
    }
    return true;
  }

  /**
   * Returns the resources free at a time after deducting an amount; null if the amount does not
   * fit.
   */
  private ResourceVector freeAt(ResourceVector amount, long atMillis) {
    long freeMillicores = millicores - amount.millicores();
    long freeMemoryBytes = memoryBytes - amount.memoryBytes();
    long freeAccelerators = accelerators - amount.accelerators();
    for (Release release : releases) {
      if (release.atMillis > atMillis) {
        break;
      }
      freeMillicores += release.amount.millicores();
      freeMemoryBytes += release.amount.memoryBytes();
      freeAccelerators += release.amount.accelerators();
    }
    boolean enough = freeMillicores >= 0 && freeMemoryBytes >= 0 && freeAccelerators >= 0;
    return enough
        ? new ResourceVector(freeMillicores, freeMemoryBytes, (int) freeAccelerators)
        : null;
  }
}
