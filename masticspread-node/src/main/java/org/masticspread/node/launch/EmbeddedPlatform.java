package org.masticspread.node.launch;

import io.reactivex.rxjava3.core.Scheduler;
import java.time.Duration;
import java.time.InstantSource;
import java.util.concurrent.TimeUnit;
import org.masticspread.model.config.Configuration;
import org.masticspread.platform.standin.EndpointFleet;
import org.masticspread.platform.standin.ExecutorSpec;
import org.masticspread.platform.standin.Faults;
import org.masticspread.platform.standin.MemoryMembership;
import org.masticspread.platform.standin.MemoryObjects;
import org.masticspread.platform.standin.MemoryTable;
import org.masticspread.platform.standin.WorkerFleet;

/**
 * Stand-ins of the platform in this process, with the workers and executors of a cell.
 *
 * <p>Example: {@code Platform platform = EmbeddedPlatform.of(cell, clock, scheduler).ports();}.
 */
public final class EmbeddedPlatform {
  private static final Duration USAGE_LAG = Duration.ofSeconds(5);
  private static final Duration MEMBERSHIP_LAG = Duration.ofSeconds(1);
  private static final int SPEED_COUNT = 3;
  private static final double SPEED_STEP = 0.5;

  private final MemoryTable table;
  private final MemoryObjects objects;
  private final MemoryMembership membership;
  private final WorkerFleet workers;
  private final EndpointFleet endpoints;

  private EmbeddedPlatform(InstantSource clock, Scheduler scheduler, Faults faults) {
    table = new MemoryTable(faults);
    objects = new MemoryObjects(faults);
    membership = new MemoryMembership(clock, MEMBERSHIP_LAG, faults);
    workers = WorkerFleet.clockedBy(clock).withUsageLag(USAGE_LAG).withFaults(faults);
    endpoints =
        EndpointFleet.clockedBy(
                clock,
                (delay, task) ->
                    scheduler.scheduleDirect(task, delay.toNanos(), TimeUnit.NANOSECONDS))
            .withFaults(faults);
  }

  /**
   * Starts the stand-ins of a cell.
   *
   * @param cell the configuration with the workers and endpoints; executors get one of three speeds
   *     in turn
   * @param clock the clock
   * @param scheduler the scheduler of the completion of requests
   * @param faults the script of faults
   * @return the platform
   */
  public static EmbeddedPlatform of(
      Configuration cell, InstantSource clock, Scheduler scheduler, Faults faults) {
    EmbeddedPlatform platform = new EmbeddedPlatform(clock, scheduler, faults);
    cell.workers().forEach(w -> platform.workers.add(w.name(), w.capacity()));
    for (int i = 0; i < cell.endpoints().size(); i++) {
      var endpoint = cell.endpoints().get(i);
      double speed = 1 + SPEED_STEP * (i % SPEED_COUNT);
      platform.endpoints.add(
          endpoint.name(), new ExecutorSpec(endpoint.slots(), endpoint.connections(), speed));
    }
    return platform;
  }

  /**
   * Returns the ports to the stand-ins.
   *
   * @return the ports
   */
  public Platform ports() {
    return new Platform(table, objects, membership, workers, endpoints);
  }

  /**
   * Returns the stand-in of the table service.
   *
   * @return the table
   */
  public MemoryTable table() {
    return table;
  }

  /**
   * Returns the stand-in of the object store.
   *
   * @return the object store
   */
  public MemoryObjects objects() {
    return objects;
  }

  /**
   * Returns the stand-in of the membership list.
   *
   * @return the list
   */
  public MemoryMembership membership() {
    return membership;
  }

  /**
   * Returns the stand-in of the workers.
   *
   * @return the workers
   */
  public WorkerFleet workers() {
    return workers;
  }

  /**
   * Returns the stand-in of the endpoints.
   *
   * @return the endpoints
   */
  public EndpointFleet endpoints() {
    return endpoints;
  }
}
