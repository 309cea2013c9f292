package org.masticspread.policy.placement.internal;

import org.masticspread.model.resource.ResourceVector;

/** Arithmetic on resource vectors that the model does not need. */
public final class Vectors {
  private Vectors() {}

  /**
   * Returns the difference of two vectors, with no amount below zero.
   *
   * @param left the vector to subtract from
   * @param right the vector to subtract
   * @return the difference
   */
  public static ResourceVector minusOrZero(ResourceVector left, ResourceVector right) {
    return new ResourceVector(
        Math.max(0, left.millicores() - right.millicores()),
        Math.max(0, left.memoryBytes() - right.memoryBytes()),
        Math.max(0, left.accelerators() - right.accelerators()));
  }

  /**
   * Returns the greater amount of each resource.
   *
   * @param left a vector
   * @param right a vector
   * @return the greater amounts
   */
  public static ResourceVector max(ResourceVector left, ResourceVector right) {
    return new ResourceVector(
        Math.max(left.millicores(), right.millicores()),
        Math.max(left.memoryBytes(), right.memoryBytes()),
        Math.max(left.accelerators(), right.accelerators()));
  }

  /**
   * Returns the lesser amount of each resource.
   *
   * @param left a vector
   * @param right a vector
   * @return the lesser amounts
   */
  public static ResourceVector min(ResourceVector left, ResourceVector right) {
    return new ResourceVector(
        Math.min(left.millicores(), right.millicores()),
        Math.min(left.memoryBytes(), right.memoryBytes()),
        Math.min(left.accelerators(), right.accelerators()));
  }

  /**
   * Returns the greatest share that a part takes of any resource of a whole.
   *
   * @param part the part
   * @param whole the whole
   * @return the dominant share; a resource that the whole lacks counts only when the part has it
   */
  public static double dominantShare(ResourceVector part, ResourceVector whole) {
    double cores = share(part.millicores(), whole.millicores());
    double memory = share(part.memoryBytes(), whole.memoryBytes());
    double accelerators = share(part.accelerators(), whole.accelerators());
    return Math.max(cores, Math.max(memory, accelerators));
  }

  /**
   * Returns how many vectors of one size fit into another vector.
   *
   * @param size the size of each
   * @param room the room
   * @param limit the most to count, not negative
   * @return the number, at most the limit
   */
  public static int timesIn(ResourceVector size, ResourceVector room, int limit) {
    long times = limit;
    times = Math.min(times, timesIn(size.millicores(), room.millicores(), limit));
    times = Math.min(times, timesIn(size.memoryBytes(), room.memoryBytes(), limit));
    times = Math.min(times, timesIn(size.accelerators(), room.accelerators(), limit));
    return (int) times;
  }

  private static long timesIn(long size, long room, long limit) {
    return size == 0 ? limit : room / size;
  }

  private static double share(long part, long whole) {
    if (part == 0) {
      return 0;
    }
    return whole == 0 ? Double.POSITIVE_INFINITY : (double) part / whole;
  }
}
