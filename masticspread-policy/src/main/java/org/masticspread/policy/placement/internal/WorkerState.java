package org.masticspread.policy.placement.internal;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.policy.placement.FreeCapacity;

/** The state of one worker in a rack ledger. Guarded by the lock of the ledger. */
public final class WorkerState implements FreeCapacity {
  final List<Allocation> allocations = new ArrayList<>();
  private WorkerConfig config;
  private boolean unreported = true;
  private boolean quarantined;
  private long freeMillicores;
  private long freeMemoryBytes;
  private int freeAccelerators;

  WorkerState(WorkerConfig config) {
    this.config = config;
    free(config.capacity());
  }

  @Override
  public long freeMillicores() {
    return freeMillicores;
  }

  @Override
  public long freeMemoryBytes() {
    return freeMemoryBytes;
  }

  @Override
  public int freeAccelerators() {
    return freeAccelerators;
  }

  @Override
  public ResourceVector capacity() {
    return config.capacity();
  }

  /**
   * Returns the id of the worker.
   *
   * @return the id
   */
  public WorkerId name() {
    return config.name();
  }

  WorkerConfig config() {
    return config;
  }

  void configure(WorkerConfig changed) {
    occupy(config.capacity());
    config = changed;
    free(changed.capacity());
  }

  /**
   * Sets whether the worker counts as full because it has not reported what it runs.
   *
   * @param newValue whether it counts as full
   */
  public void setUnreported(boolean newValue) {
    unreported = newValue;
  }

  /**
   * Sets whether the worker gets no new work because tasks fail on it.
   *
   * @param newValue whether it is quarantined
   */
  public void setQuarantined(boolean newValue) {
    quarantined = newValue;
  }

  /**
   * Returns whether the worker accepts new work.
   *
   * @return whether it accepts new work
   */
  public boolean accepts() {
    return !unreported && !quarantined && config.state() == EndpointState.ACTIVE;
  }

  /**
   * Returns whether the worker accepts new work of a pool.
   *
   * @param pool the pool; null for any
   * @return whether it accepts such work
   */
  boolean serves(PoolId pool) {
    return accepts() && (pool == null || pool.equals(config.pool()));
  }

  /**
   * Lists the attempts allocated on this worker.
   *
   * @return a copy of the list
   */
  public List<TaskAttempt> attempts() {
    return allocations.stream().map(b -> b.attempt).toList();
  }

  void occupy(ResourceVector size) {
    freeMillicores -= size.millicores();
    freeMemoryBytes -= size.memoryBytes();
    freeAccelerators -= size.accelerators();
  }

  void free(ResourceVector size) {
    freeMillicores += size.millicores();
    freeMemoryBytes += size.memoryBytes();
    freeAccelerators += size.accelerators();
  }

  /**
   * Returns the resources available to new work.
   *
   * @return the free resources; zero while the worker accepts no new work
   */
  public ResourceVector usable() {
    if (!accepts()) {
      return ResourceVector.ZERO;
    }
    return new ResourceVector(
        Math.max(0, freeMillicores), Math.max(0, freeMemoryBytes), Math.max(0, freeAccelerators));
  }

  /**
   * Returns the sum, over all resources, of the fraction available to new work.
   *
   * @return from 0 to the number of resources
   */
  public double usableShare() {
    ResourceVector usable = usable();
    ResourceVector capacity = config.capacity();
    return share(usable.millicores(), capacity.millicores())
        + share(usable.memoryBytes(), capacity.memoryBytes())
        + share(usable.accelerators(), capacity.accelerators());
  }

  private static double share(long part, long whole) {
    return whole == 0 ? 0 : (double) part / whole;
  }
}
