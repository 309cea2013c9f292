package org.masticspread.policy.placement.internal;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.resource.ResourceVector;

/**
 * Room that is being freed for urgent tasks. It counts as occupied from the preemption on, so that
 * no other task takes it once the preempted tasks stop. Guarded by the lock of the ledger.
 */
public final class PreemptionReservations {
  private record Reservation(WorkerState state, ResourceVector size, Instant until) {}

  private final Map<TaskKey, Reservation> reservations = new HashMap<>();

  /**
   * Reserves room on a worker, replacing an earlier reservation for the same task.
   *
   * @param task the urgent task
   * @param state the worker
   * @param size the size of the task
   * @param until when the reservation expires
   */
  public void reserve(TaskKey task, WorkerState state, ResourceVector size, Instant until) {
    release(task);
    state.occupy(size);
    reservations.put(task, new Reservation(state, size, until));
  }

  /**
   * Returns whether room is reserved for a task.
   *
   * @param task the task
   * @return whether there is a reservation
   */
  public boolean contains(TaskKey task) {
    return reservations.containsKey(task);
  }

  /**
   * Releases the reservation for a task, if any.
   *
   * @param task the task
   * @return the worker of the reservation, or null if there was none
   */
  public WorkerState release(TaskKey task) {
    Reservation reservation = reservations.remove(task);
    if (reservation == null) {
      return null;
    }
    reservation.state.free(reservation.size);
    return reservation.state;
  }

  /**
   * Frees the reserved room for its task if the task fits. The caller must allocate it at once.
   *
   * @param task the task
   * @param size the size of the task
   * @return the worker if the task fits there now; otherwise null, and the reservation is kept
   */
  public WorkerState claim(TaskKey task, ResourceVector size) {
    Reservation reservation = reservations.get(task);
    if (reservation == null) {
      return null;
    }
    reservation.state.free(reservation.size);
    if (reservation.state.accepts() && reservation.state.fits(size)) {
      reservations.remove(task);
      return reservation.state;
    }
    reservation.state.occupy(reservation.size);
    return null;
  }

  /**
   * Releases the expired reservations.
   *
   * @param now the current time
   */
  public void expire(Instant now) {
    List<TaskKey> expired =
        reservations.entrySet().stream()
            .filter(e -> !now.isBefore(e.getValue().until()))
            .map(Map.Entry::getKey)
            .toList();
    expired.forEach(this::release);
  }
}
