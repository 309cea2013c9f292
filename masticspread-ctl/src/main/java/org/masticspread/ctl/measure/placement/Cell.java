package org.masticspread.ctl.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.SplittableRandom;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.resource.ResourceVector;

/**
 * A simulated cell: its workers and the sizes of the tasks that arrive.
 *
 * @param deployment the name of the deployment
 * @param workers the workers, eight to a rack
 * @param shapes the task sizes and their relative frequencies
 * @param gangTask the size of each task of a gang
 */
record Cell(
    String deployment, List<WorkerConfig> workers, List<Shape> shapes, ResourceVector gangTask) {
  /** The pool that contains all workers. */
  static final PoolId POOL = PoolId.of("main");

  private static final int WORKERS_PER_RACK = 8;
  private static final int DATA_CENTRES = 3;
  private static final int LATER_WORKERS = 550;
  private static final int LATER_PATTERN_LENGTH = 22;
  private static final int ACCELERATED_PER_PATTERN = 5;
  private static final int SMALL_PER_PATTERN = 8;
  private static final long GIB = 1L << 30;

  /** A task size and its relative arrival frequency. */
  record Shape(ResourceVector size, int weight) {}

  /** Returns a cell of 30 workers with 16 cores and 32 GB each. */
  static Cell mtkvari() {
    List<Shape> shapes =
        List.of(
            shape(0.5, 0.5, 0, 6),
            shape(1, 1, 0, 6),
            shape(1, 4, 0, 4),
            shape(2, 2, 0, 4),
            shape(2, 6, 0, 4),
            shape(4, 6, 0, 2),
            shape(3, 10, 0, 2),
            shape(8, 12, 0, 1));
    List<WorkerConfig> workers = workers(30, size(16, 32, 0));
    return new Cell("mtkvari", workers, shapes, size(4, 8, 0));
  }

  /** Returns a cell of 30 workers with 32 cores and 128 GB each. */
  static Cell kitami() {
    List<Shape> shapes =
        List.of(
            shape(0.5, 1, 0, 6),
            shape(1, 8, 0, 6),
            shape(2, 4, 0, 6),
            shape(4, 8, 0, 4),
            shape(4, 24, 0, 4),
            shape(8, 16, 0, 2),
            shape(6, 40, 0, 2),
            shape(16, 48, 0, 1));
    List<WorkerConfig> workers = workers(30, size(32, 128, 0));
    return new Cell("kitami", workers, shapes, size(8, 32, 0));
  }

  /** Returns a cell of 550 workers of three capacities, 125 of them with 8 accelerators each. */
  static Cell later() {
    List<WorkerConfig> workers = new ArrayList<>();
    for (int i = 0; i < LATER_WORKERS; i++) {
      workers.add(worker(i, laterCapacity(i % LATER_PATTERN_LENGTH)));
    }
    List<Shape> shapes =
        List.of(
            shape(0.5, 1, 0, 12),
            shape(1, 2, 0, 12),
            shape(1, 6, 0, 8),
            shape(2, 4, 0, 8),
            shape(2, 12, 0, 6),
            shape(4, 12, 0, 4),
            shape(8, 24, 0, 2),
            shape(4, 16, 1, 2),
            shape(8, 32, 2, 1),
            shape(16, 64, 4, 1));
    return new Cell("later", workers, shapes, size(8, 32, 1));
  }

  private static ResourceVector laterCapacity(int position) {
    if (position < ACCELERATED_PER_PATTERN) {
      return size(64, 256, 8);
    }
    return position < ACCELERATED_PER_PATTERN + SMALL_PER_PATTERN
        ? size(16, 32, 0)
        : size(32, 128, 0);
  }

  private static Shape shape(double cores, double gib, int accelerators, int weight) {
    return new Shape(size(cores, gib, accelerators), weight);
  }

  private static ResourceVector size(double cores, double gib, int accelerators) {
    return new ResourceVector((long) (cores * 1000), (long) (gib * GIB), accelerators);
  }

  private static List<WorkerConfig> workers(int count, ResourceVector capacity) {
    List<WorkerConfig> workers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      workers.add(worker(i, capacity));
    }
    return workers;
  }

  private static WorkerConfig worker(int number, ResourceVector capacity) {
    int rack = number / WORKERS_PER_RACK;
    return new WorkerConfig(
        WorkerId.of(String.format(Locale.ROOT, "w%03d", number)),
        POOL,
        RackId.of(String.format(Locale.ROOT, "r%02d", rack)),
        DataCentreId.of("dc" + rack % DATA_CENTRES),
        "127.0.0.1:1",
        capacity,
        EndpointState.ACTIVE);
  }

  /** Returns the total capacity of all workers. */
  ResourceVector capacity() {
    return workers.stream()
        .map(WorkerConfig::capacity)
        .reduce(ResourceVector.ZERO, ResourceVector::plus);
  }

  /** Draws the size of an arriving task at random, by frequency. */
  ResourceVector draw(SplittableRandom random) {
    int total = shapes.stream().mapToInt(Shape::weight).sum();
    int remaining = random.nextInt(total);
    for (Shape shape : shapes) {
      remaining -= shape.weight();
      if (remaining < 0) {
        return shape.size();
      }
    }
    throw new IllegalStateException("packing: the cell has no task sizes");
  }
}
