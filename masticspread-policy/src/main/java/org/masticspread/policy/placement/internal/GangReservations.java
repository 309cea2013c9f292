package org.masticspread.policy.placement.internal;

import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.policy.placement.PlacementStrategy;

/** Room reserved for gangs, which counts as occupied. Guarded by the lock of the ledger. */
public final class GangReservations {
  private static final class Reservation {
    private final int attempt;
    private final ResourceVector perTask;
    private final List<WorkerState> workers = new ArrayList<>();
    private Instant until;

    private Reservation(int attempt, ResourceVector perTask) {
      this.attempt = attempt;
      this.perTask = perTask;
    }
  }

  private final Map<JobKey, Reservation> reservations = new HashMap<>();

  /**
   * Reserves room, or renews and extends the reservation of the same attempt. A newer attempt
   * replaces an older one; an older attempt gets nothing.
   *
   * @param allocations the workers of the rack and their allocations
   * @param strategy the placement strategy
   * @param pool the pool of the workers; null for any
   * @param job the gang
   * @param attempt the attempt of the gang
   * @param perTask the size of each task
   * @param wanted the maximum number of tasks to reserve room for
   * @param until when the reservation expires
   * @return the number of tasks for which room is reserved
   */
  public int reserve(
      AllocationTable allocations,
      PlacementStrategy strategy,
      PoolId pool,
      JobKey job,
      int attempt,
      ResourceVector perTask,
      int wanted,
      Instant until) {
    Reservation existing = reservations.get(job);
    if (existing != null && existing.attempt > attempt) {
      return 0;
    }
    if (existing != null && (existing.attempt < attempt || !existing.perTask.equals(perTask))) {
      release(job, existing.attempt);
    }
    Reservation reservation =
        reservations.computeIfAbsent(job, k -> new Reservation(attempt, perTask));
    reservation.until = until;
    while (reservation.workers.size() > wanted) {
      reservation.workers.remove(reservation.workers.size() - 1).free(perTask);
    }
    while (reservation.workers.size() < wanted) {
      WorkerState state = allocations.choose(perTask, pool, strategy, s -> true);
      if (state == null) {
        break;
      }
      state.occupy(perTask);
      reservation.workers.add(state);
    }
    removeIfEmpty(job, reservation);
    return reservation.workers.size();
  }

  /**
   * Frees the room of one task from a reservation. The caller must allocate it at once.
   *
   * @param job the gang
   * @param size the size of the task
   * @return a worker that accepts work and has the room, or null if there is none
   */
  public WorkerState claim(JobKey job, ResourceVector size) {
    Reservation reservation = reservations.get(job);
    if (reservation == null) {
      return null;
    }
    for (Iterator<WorkerState> workers = reservation.workers.iterator(); workers.hasNext(); ) {
      WorkerState state = workers.next();
      state.free(reservation.perTask);
      if (state.accepts() && state.fits(size)) {
        workers.remove();
        removeIfEmpty(job, reservation);
        return state;
      }
      state.occupy(reservation.perTask);
    }
    return null;
  }

  private void removeIfEmpty(JobKey job, Reservation reservation) {
    if (reservation.workers.isEmpty()) {
      reservations.remove(job);
    }
  }

  /**
   * Releases a reservation.
   *
   * @param job the gang
   * @param attempt the attempt; a reservation of a later attempt is kept
   */
  public void release(JobKey job, int attempt) {
    Reservation reservation = reservations.get(job);
    if (reservation == null || reservation.attempt > attempt) {
      return;
    }
    reservations.remove(job);
    reservation.workers.forEach(state -> state.free(reservation.perTask));
  }

  /**
   * Releases the expired reservations.
   *
   * @param now the current time
   */
  public void expire(Instant now) {
    List<JobKey> expired =
        reservations.entrySet().stream()
            .filter(e -> !now.isBefore(e.getValue().until))
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(job -> release(job, Integer.MAX_VALUE));
  }
}
