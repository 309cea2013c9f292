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

/** What a ledger knows of one worker. Guarded by its ledger's lock. */
public final class WorkerSlot implements FreeCapacity {
  final List<Booking> bookings = new ArrayList<>();
  private WorkerConfig config;
  private boolean held = true;
  private boolean aside;
  private long freeMillicores;
  private long freeMemoryBytes;
  private int freeAccelerators;

  WorkerSlot(WorkerConfig config) {
    this.config = config;
    give(config.capacity());
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
   * Returns the worker.
   *
   * @return its name
   */
  public WorkerId name() {
    return config.name();
  }

  WorkerConfig config() {
    return config;
  }

  void configure(WorkerConfig changed) {
    take(config.capacity());
    config = changed;
    give(changed.capacity());
  }

  /**
   * Changes whether the worker counts as full because it has not told what it runs.
   *
   * @param unknown whether it counts as full
   */
  public void hold(boolean unknown) {
    held = unknown;
  }

  /**
   * Changes whether the worker gets nothing new because tasks fail on it.
   *
   * @param suspect whether it is put aside
   */
  public void setQuarantined(boolean suspect) {
    aside = suspect;
  }

  /**
   * Tells whether the worker gets new work.
   *
   * @return whether it does
   */
  public boolean accepts() {
    return !held && !aside && config.state() == EndpointState.ACTIVE;
  }

  /**
   * Tells whether the worker gets new work of a pool.
   *
   * @param pool the pool; null for any
   * @return whether it does
   */
  boolean serves(PoolId pool) {
    return accepts() && (pool == null || pool.equals(config.pool()));
  }

  /**
   * Lists the attempts that are booked here.
   *
   * @return a copy of the list
   */
  public List<TaskAttempt> attempts() {
    return bookings.stream().map(b -> b.attempt).toList();
  }

  void take(ResourceVector size) {
    freeMillicores -= size.millicores();
    freeMemoryBytes -= size.memoryBytes();
    freeAccelerators -= size.accelerators();
  }

  void give(ResourceVector size) {
    freeMillicores += size.millicores();
    freeMemoryBytes += size.memoryBytes();
    freeAccelerators += size.accelerators();
  }

  /**
   * Returns what new work can take.
   *
   * @return what is free; nothing while the worker gets no new work
   */
  public ResourceVector usable() {
    if (!accepts()) {
      return ResourceVector.ZERO;
    }
    return new ResourceVector(
        Math.max(0, freeMillicores), Math.max(0, freeMemoryBytes), Math.max(0, freeAccelerators));
  }

  /**
   * Returns the sum of the shares of each resource that new work can take.
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
