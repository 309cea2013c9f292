package org.masticspread.model.resource;

/**
 * The amounts of the resources of a worker or a task.
 *
 * @param millicores processors, in thousandths of a core
 * @param memoryBytes memory, in bytes
 * @param accelerators whole accelerators
 */
public record ResourceVector(long millicores, long memoryBytes, int accelerators) {
  /** The vector with zero of each resource. */
  public static final ResourceVector ZERO = new ResourceVector(0, 0, 0);

  /**
   * Checks that no amount is negative.
   *
   * @throws IllegalArgumentException if an amount is negative
   */
  public ResourceVector {
    requireNotNegative("millicores", millicores);
    requireNotNegative("memoryBytes", memoryBytes);
    requireNotNegative("accelerators", accelerators);
  }

  private static void requireNotNegative(String field, long amount) {
    if (amount < 0) {
      throw new IllegalArgumentException(field + ": " + amount + " is negative");
    }
  }

  /**
   * Returns the sum of two vectors.
   *
   * @param other the vector to add
   * @return the sum
   * @throws ArithmeticException if a sum overflows
   */
  public ResourceVector plus(ResourceVector other) {
    return new ResourceVector(
        Math.addExact(millicores, other.millicores),
        Math.addExact(memoryBytes, other.memoryBytes),
        Math.addExact(accelerators, other.accelerators));
  }

  /**
   * Returns the difference of two vectors.
   *
   * @param other the vector to subtract
   * @return the difference
   * @throws IllegalArgumentException if an amount would be negative
   */
  public ResourceVector minus(ResourceVector other) {
    return new ResourceVector(
        millicores - other.millicores,
        memoryBytes - other.memoryBytes,
        accelerators - other.accelerators);
  }

  /**
   * Returns this vector with each amount multiplied.
   *
   * @param factor the factor, not negative
   * @return the product
   * @throws ArithmeticException if a product overflows
   */
  public ResourceVector times(int factor) {
    return new ResourceVector(
        Math.multiplyExact(millicores, (long) factor),
        Math.multiplyExact(memoryBytes, (long) factor),
        Math.multiplyExact(accelerators, factor));
  }

  /**
   * Returns whether this vector fits into another one.
   *
   * @param capacity the vector to fit into
   * @return whether no amount exceeds that of the capacity
   */
  public boolean fitsIn(ResourceVector capacity) {
    return millicores <= capacity.millicores
        && memoryBytes <= capacity.memoryBytes
        && accelerators <= capacity.accelerators;
  }
}
