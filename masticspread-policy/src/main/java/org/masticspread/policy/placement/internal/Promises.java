package org.masticspread.policy.placement.internal;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.resource.ResourceVector;

/**
 * Room that is being made for urgent tasks. It counts as taken from the order on, so that no other
 * task takes it when the present holder leaves. Guarded by its ledger's lock.
 */
public final class Promises {
  private record Promise(WorkerSlot slot, ResourceVector size, Instant until) {}

  private final Map<TaskKey, Promise> promises = new HashMap<>();

  /**
   * Promises room on a worker, in place of an earlier promise to the same task.
   *
   * @param task the urgent task
   * @param slot the worker
   * @param size the size of the task
   * @param until when the promise lapses
   */
  public void promise(TaskKey task, WorkerSlot slot, ResourceVector size, Instant until) {
    drop(task);
    slot.take(size);
    promises.put(task, new Promise(slot, size, until));
  }

  /**
   * Tells whether room is promised to a task.
   *
   * @param task the task
   * @return whether it is
   */
  public boolean contains(TaskKey task) {
    return promises.containsKey(task);
  }

  /**
   * Ends the promise to a task if there is one.
   *
   * @param task the task
   * @return the worker of the promise, or null if there was none
   */
  public WorkerSlot drop(TaskKey task) {
    Promise promise = promises.remove(task);
    if (promise == null) {
      return null;
    }
    promise.slot.give(promise.size);
    return promise.slot;
  }

  /**
   * Makes the room of a promise usable for its task, for one choice.
   *
   * @param task the task
   * @param size the size of the task
   * @return the promised worker when the task fits there now; else null, and the promise stays
   */
  public WorkerSlot redeem(TaskKey task, ResourceVector size) {
    Promise promise = promises.get(task);
    if (promise == null) {
      return null;
    }
    promise.slot.give(promise.size);
    if (promise.slot.accepts() && promise.slot.fits(size)) {
      promises.remove(task);
      return promise.slot;
    }
    promise.slot.take(promise.size);
    return null;
  }

  /**
   * Ends the promises that have lapsed.
   *
   * @param now the present
   */
  public void expire(Instant now) {
    List<TaskKey> lapsed =
        promises.entrySet().stream()
            .filter(e -> !now.isBefore(e.getValue().until()))
            .map(Map.Entry::getKey)
            .toList();
    lapsed.forEach(this::drop);
  }
}
