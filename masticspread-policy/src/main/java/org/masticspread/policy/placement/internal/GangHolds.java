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

/** Room reserved for gangs; it counts as taken. Guarded by its ledger's lock. */
public final class GangHolds {
  private static final class Hold {
    private final int attempt;
    private final ResourceVector perTask;
    private final List<WorkerSlot> rooms = new ArrayList<>();
    private Instant until;

    private Hold(int attempt, ResourceVector perTask) {
      this.attempt = attempt;
      this.perTask = perTask;
    }
  }

  private final Map<JobKey, Hold> holds = new HashMap<>();

  /**
   * Reserves room, or renews and fills up what the same attempt has reserved. A newer attempt
   * replaces an older one; an older one gets nothing.
   *
   * @param books the workers
   * @param strategy rates the workers
   * @param pool the pool of the workers; null for any
   * @param job the gang
   * @param attempt the attempt of the gang
   * @param perTask the size of each task
   * @param wanted the most tasks to reserve for
   * @param until when the reservation lapses
   * @return the number of tasks reserved for
   */
  public int reserve(
      Books books,
      PlacementStrategy strategy,
      PoolId pool,
      JobKey job,
      int attempt,
      ResourceVector perTask,
      int wanted,
      Instant until) {
    Hold held = holds.get(job);
    if (held != null && held.attempt > attempt) {
      return 0;
    }
    if (held != null && (held.attempt < attempt || !held.perTask.equals(perTask))) {
      release(job, held.attempt);
    }
    Hold hold = holds.computeIfAbsent(job, k -> new Hold(attempt, perTask));
    hold.until = until;
    while (hold.rooms.size() > wanted) {
      hold.rooms.remove(hold.rooms.size() - 1).give(perTask);
    }
    while (hold.rooms.size() < wanted) {
      WorkerSlot slot = books.choose(perTask, pool, strategy, s -> true);
      if (slot == null) {
        break;
      }
      slot.take(perTask);
      hold.rooms.add(slot);
    }
    dropIfEmpty(job, hold);
    return hold.rooms.size();
  }

  /**
   * Takes room for one task out of a reservation. The room is free afterwards, and the caller books
   * it at once.
   *
   * @param job the gang
   * @param size the size of the task
   * @return a worker that accepts work and has the room, or null if no such room is reserved
   */
  public WorkerSlot consume(JobKey job, ResourceVector size) {
    Hold hold = holds.get(job);
    if (hold == null) {
      return null;
    }
    for (Iterator<WorkerSlot> rooms = hold.rooms.iterator(); rooms.hasNext(); ) {
      WorkerSlot slot = rooms.next();
      slot.give(hold.perTask);
      if (slot.accepts() && slot.fits(size)) {
        rooms.remove();
        dropIfEmpty(job, hold);
        return slot;
      }
      slot.take(hold.perTask);
    }
    return null;
  }

  private void dropIfEmpty(JobKey job, Hold hold) {
    if (hold.rooms.isEmpty()) {
      holds.remove(job);
    }
  }

  /**
   * Gives a reservation back.
   *
   * @param job the gang
   * @param attempt the attempt; a reservation of a later one stays
   */
  public void release(JobKey job, int attempt) {
    Hold hold = holds.get(job);
    if (hold == null || hold.attempt > attempt) {
      return;
    }
    holds.remove(job);
    hold.rooms.forEach(slot -> slot.give(hold.perTask));
  }

  /**
   * Gives back the reservations that have lapsed.
   *
   * @param now the present
   */
  public void expire(Instant now) {
    List<JobKey> lapsed =
        holds.entrySet().stream()
            .filter(e -> !now.isBefore(e.getValue().until))
            .map(Map.Entry::getKey)
            .toList();
    lapsed.forEach(job -> release(job, Integer.MAX_VALUE));
  }
}
