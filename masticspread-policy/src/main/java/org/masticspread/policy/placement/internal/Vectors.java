package org.masticspread.policy.placement.internal;

import org.masticspread.model.resource.ResourceVector;

/** Arithmetic on resource vectors, beyond that of {@link ResourceVector}. */
public final class Vectors {
  private Vectors() {}

  /**
   * Returns the difference of two vectors, with negative amounts replaced by zero.
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
   * Returns the maximum of each resource.
   *
   * @param left a vector
   * @param right a vector
   * @return the maximum amounts
   */
  public static ResourceVector max(ResourceVector left, ResourceVector right) {
    return new ResourceVector(
        Math.max(left.millicores(), right.millicores()),
        Math.max(left.memoryBytes(), right.memoryBytes()),
        Math.max(left.accelerators(), right.accelerators()));
  }

  /**
   * Returns the minimum of each resource.
   *
   * @param left a vector
   * @param right a vector
   * @return the minimum amounts
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
   * @return the dominant share; infinite if the part has a resource that the whole lacks
   */
  public static double dominantShare(ResourceVector part, ResourceVector whole) {
    double cores = share(part.millicores(), whole.millicores());
    double memory = share(part.memoryBytes(), whole.memoryBytes());
    double accelerators = share(part.accelerators(), whole.accelerators());
    return Math.max(cores, Math.max(memory, accelerators));
  }

  /**
   * Returns how many vectors of the same size fit into another vector.
   *
   * @param size the size of each
   * @param capacity the vector to fill
   * @param limit the maximum to count, not negative
   * @return the number, at most the limit
   */
  public static int countFitting(ResourceVector size, ResourceVector capacity, int limit) {
    long count = limit;
    count = Math.min(count, countFitting(size.millicores(), capacity.millicores(), limit));
    count = Math.min(count, countFitting(size.memoryBytes(), capacity.memoryBytes(), limit));
    count = Math.min(count, countFitting(size.accelerators(), capacity.accelerators(), limit));
    return (int) count;
  }

  private static long countFitting(long size, long capacity, long limit) {
    return size == 0 ? limit : capacity / size;
  }

  private static double share(long part, long whole) {
    if (part == 0) {
      return 0;
    }
    return whole == 0 ? Double.POSITIVE_INFINITY : (double) part / whole;
  }
}
