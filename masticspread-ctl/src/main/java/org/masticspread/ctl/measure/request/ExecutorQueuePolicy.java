package org.masticspread.ctl.measure.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeSet;
import java.util.function.IntUnaryOperator;

/** Baselines that choose the executor on arrival and let requests wait there. */
final class ExecutorQueuePolicy implements RequestPolicy {
  private static final int QUEUE_LIMIT = 20_000;

  private final IntUnaryOperator place;
  private final Slots slots;
  private final List<Deque<Arrival>> queues = new ArrayList<>();
  private final TreeSet<Integer> ready = new TreeSet<>();
  private final List<Arrival> givenUp = new ArrayList<>();
  private int queued;

  /**
   * Creates a policy.
   *
   * @param deployment the fleet
   * @param place draws an executor out of a count
   */
  ExecutorQueuePolicy(Deployment deployment, IntUnaryOperator place) {
    this.place = place;
    this.slots = new Slots(deployment);
    for (int i = 0; i < slots.executors(); i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  @Override
  public boolean offer(Arrival arrival, long now) {
    if (queued >= QUEUE_LIMIT) {
      return false;
    }
    int executor = place.applyAsInt(slots.executors());
    queued++;
    queues.get(executor).add(arrival);
    ready.add(executor);
    return true;
  }

  @Override
  public Start next(long now) {
    while (!ready.isEmpty()) {
      int executor = ready.first();
      Deque<Arrival> queue = queues.get(executor);
      if (queue.isEmpty() || !slots.isFree(executor)) {
        ready.remove(executor);
        continue;
      }
      queued--;
      Arrival arrival = queue.poll();
      if (arrival.answerBy > now) {
        slots.take(executor);
        return new Start(arrival, executor, null);
      }
      givenUp.add(arrival);
    }
    return null;
  }

  @Override
  public void finished(Start start, long took, long now) {
    slots.release(start.executor());
    ready.add(start.executor());
  }

  @Override
  public List<Arrival> givenUp(long now) {
    List<Arrival> result = List.copyOf(givenUp);
    givenUp.clear();
    return result;
  }
}
