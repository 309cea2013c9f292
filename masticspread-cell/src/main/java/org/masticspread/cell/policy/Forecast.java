package org.masticspread.cell.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

/**
 * The room of one worker as it will become free, less what is reserved for gangs that wait.
 *
 * <p>Answers the load of gangs beside a stream of smaller tasks: while a gang waits until all its
 * tasks have room, smaller ones may use that room if they end before, or if there is more of it.
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
  private final List<Long> reservedFrom = new ArrayList<>();
  private long millicores;
  private long memoryBytes;
  private long accelerators;

  /**
   * Room that becomes free.
   *
   * @param atMillis when, on the cell's clock
   * @param amount how much
   */
  public record Release(long atMillis, ResourceVector amount) {}

  /**
   * Creates the forecast of a worker on which nothing is reserved.
   *
   * @param worker the worker
   * @param nowMillis the moment, on the cell's clock
   * @param releases when its runs are expected to end, in any order
   */
  public Forecast(CandidateWorker worker, long nowMillis, List<Release> releases) {
    this.worker = worker;
    this.nowMillis = nowMillis;
    this.speed = worker.speed();
    this.releases = new ArrayList<>();
    for (Release release : releases) {
      // A run that should have ended and has not still takes its room.
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
   * Returns how fast the worker is.
   *
   * @return its learned speed
   */
  public double speed() {
    return speed;
  }

  /**
   * Returns the moments at which room becomes free.
   *
   * @return the releases, earliest first
   */
  public List<Release> releases() {
    return releases;
  }

  /**
   * Counts how many tasks of a step have room from a moment on.
   *
   * @param step the step
   * @param name its full name
   * @param atMillis the moment
   * @return how many
   */
  public int slotsAt(StepSpec step, String name, long atMillis) {
    ResourceVector free = freeAt(ResourceVector.ZERO, atMillis);
    if (free == null) {
      return 0;
    }
    int fitting = Placement.times(step.booked(), free);
    int most = step.mostPerWorker();
    return most == 0 ? fitting : Math.max(0, Math.min(fitting, most - worker.taskCount(name)));
  }

  /**
   * Reserves room.
   *
   * @param each what each task takes
   * @param tasks how many tasks
   * @param fromMillis when they are to start
   * @param untilMillis when they are expected to end
   */
  public void reserve(ResourceVector each, int tasks, long fromMillis, long untilMillis) {
    take(each.times(tasks), untilMillis);
    reservedFrom.add(fromMillis);
  }

  /**
   * Notes that a task was started now.
   *
   * @param amount what it takes
   * @param untilMillis when it is expected to end
   */
  public void start(ResourceVector amount, long untilMillis) {
    take(amount, untilMillis);
  }

  private void take(ResourceVector amount, long endMillis) {
    millicores -= amount.millicores();
    memoryBytes -= amount.memoryBytes();
    accelerators -= amount.accelerators();
    long untilMillis = Math.max(endMillis, nowMillis + 1);
    int place = 0;
    while (place < releases.size() && releases.get(place).atMillis <= untilMillis) {
      place++;
    }
    releases.add(place, new Release(untilMillis, amount));
  }

  /**
   * Tells whether a task that has room now delays no gang.
   *
   * @param amount what it takes
   * @param untilMillis when it is expected to end
   * @return whether it may start
   */
  public boolean admits(ResourceVector amount, long untilMillis) {
    for (long from : reservedFrom) {
      if (untilMillis > from && freeAt(amount, Math.max(from, nowMillis)) == null) {
        return false;
      }
    }
    return true;
  }

  /** Returns what is free at a moment beside an amount; null if not even that is. */
  private ResourceVector freeAt(ResourceVector amount, long atMillis) {
    long cores = millicores - amount.millicores();
    long memory = memoryBytes - amount.memoryBytes();
    long cards = accelerators - amount.accelerators();
    for (Release release : releases) {
      if (release.atMillis > atMillis) {
        break;
      }
      cores += release.amount.millicores();
      memory += release.amount.memoryBytes();
      cards += release.amount.accelerators();
    }
    boolean enough = cores >= 0 && memory >= 0 && cards >= 0;
    return enough ? new ResourceVector(cores, memory, (int) cards) : null;
  }
}
