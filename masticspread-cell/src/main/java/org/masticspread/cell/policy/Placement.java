package org.masticspread.cell.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.resource.ResourceVector;

/**
 * Chooses workers for tasks.
 *
 * <p>Answers the load of many short checks beside gangs that need several whole workers: single
 * tasks go where they leave whole workers free, urgent ones to fast workers, and a gang takes
 * workers of like speed, since its slowest member decides when it ends.
 */
public final class Placement {
  /** Weighs run time against packing: a worker at half the speed is worse than an empty one. */
  private static final double URGENT_SPEED_WEIGHT = 4.0;

  /** For tasks that may wait, speed decides only between workers that are about as full. */
  private static final double PATIENT_SPEED_WEIGHT = 0.6;

  /** The cost of opening an empty worker, in shares of its capacity. */
  private static final double EMPTY_WORKER_COST = 0.5;

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
  public static Optional<Room> single(
      List<? extends Room> rooms, StepSpec step, String name, boolean urgent, double farSlowdown) {
    Room best = null;
    double lowest = Double.MAX_VALUE;
    for (Room room : rooms) {
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

  private static double cost(Room room, StepSpec step, boolean urgent, double farSlowdown) {
    double weight = urgent ? URGENT_SPEED_WEIGHT : PATIENT_SPEED_WEIGHT;
    double capacity = Math.max(1, room.capacity().millicores());
    double left = (room.free().millicores() - step.booked().millicores()) / capacity;
    boolean empty = room.free().equals(room.capacity());
    return weight * slowdown(room, step, farSlowdown) + left + (empty ? EMPTY_WORKER_COST : 0);
  }

  /**
   * Tells how many times longer than estimated a task takes on a worker.
   *
   * @param room the worker
   * @param step the step
   * @param farSlowdown how many times longer a task takes away from its data
   * @return the factor
   */
  public static double slowdown(Room room, StepSpec step, double farSlowdown) {
    boolean far = !step.dataRack().isEmpty() && !step.dataRack().equals(room.rack());
    return (far ? farSlowdown : 1.0) / room.speed();
  }

  /**
   * Chooses workers for all tasks of a gang.
   *
   * @param rooms the workers that may run it
   * @param step the step
   * @param name the full name of the step
   * @param farSlowdown how many times longer a task takes away from its data
   * @return a worker for each task, or an empty list if there is no room for all
   */
  public static List<Room> gang(
      List<? extends Room> rooms, StepSpec step, String name, double farSlowdown) {
    if (step.sameRack()) {
      List<Room> together = inOneRack(rooms, step, name, farSlowdown);
      if (!together.isEmpty()) {
        return together;
      }
    }
    return ofLikeSpeed(rooms, step, name, farSlowdown);
  }

  private static List<Room> inOneRack(
      List<? extends Room> rooms, StepSpec step, String name, double farSlowdown) {
    Map<String, List<Room>> racks =
        rooms.stream()
            .collect(Collectors.groupingBy(Room::rack, TreeMap::new, Collectors.toList()));
    for (List<Room> rack : racks.values()) {
      List<Room> chosen = ofLikeSpeed(rack, step, name, farSlowdown);
      if (!chosen.isEmpty()) {
        return chosen;
      }
    }
    return List.of();
  }

  /** Takes the fastest workers that have room for all, and of these the fullest first. */
  private static List<Room> ofLikeSpeed(
      List<? extends Room> rooms, StepSpec step, String name, double farSlowdown) {
    List<Room> fitting = new ArrayList<>();
    for (Room room : rooms) {
      if (slots(room, step, name) > 0) {
        fitting.add(room);
      }
    }
    fitting.sort(
        Comparator.comparingDouble((Room room) -> slowdown(room, step, farSlowdown))
            .thenComparing(Room::id));
    int found = 0;
    int used = 0;
    while (used < fitting.size() && found < step.tasks()) {
      found += slots(fitting.get(used), step, name);
      used++;
    }
    if (found < step.tasks()) {
      return List.of();
    }
    List<Room> enough = new ArrayList<>(fitting.subList(0, used));
    enough.sort(Comparator.comparingLong((Room room) -> room.free().millicores()));
    return fill(enough, step, name);
  }

  private static List<Room> fill(List<Room> rooms, StepSpec step, String name) {
    List<Room> chosen = new ArrayList<>();
    for (Room room : rooms) {
      int slots = Math.min(slots(room, step, name), step.tasks() - chosen.size());
      for (int i = 0; i < slots; i++) {
        chosen.add(room);
      }
    }
    return chosen;
  }

  /**
   * Counts how many more tasks of a step a worker has room for.
   *
   * @param room the worker
   * @param step the step
   * @param name the full name of the step
   * @return how many
   */
  public static int slots(Room room, StepSpec step, String name) {
    int fitting = times(step.booked(), room.free());
    if (step.mostPerWorker() == 0) {
      return fitting;
    }
    return Math.max(0, Math.min(fitting, step.mostPerWorker() - room.tasksOf(name)));
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
