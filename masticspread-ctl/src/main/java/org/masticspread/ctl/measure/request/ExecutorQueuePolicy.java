package org.masticspread.ctl.measure.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.TreeSet;
import java.util.function.IntUnaryOperator;

/** Baseline policies that assign each request to an executor on arrival and queue it there. */
final class ExecutorQueuePolicy implements RequestPolicy {
  private static final int QUEUE_LIMIT = 20_000;

  private final IntUnaryOperator executorChoice;
  private final Slots slots;
  private final List<Deque<Arrival>> queues = new ArrayList<>();
  private final TreeSet<Integer> ready = new TreeSet<>();
  private final List<Arrival> abandoned = new ArrayList<>();
  private int queued;

  /**
   * Creates a policy.
   *
   * @param deployment the deployment
   * @param executorChoice draws an executor from a count of executors
   */
  ExecutorQueuePolicy(Deployment deployment, IntUnaryOperator executorChoice) {
    this.executorChoice = executorChoice;
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
    int executor = executorChoice.applyAsInt(slots.executors());
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
      abandoned.add(arrival);
    }
    return null;
  }

  @Override
  public void finished(Start start, long took, long now) {
    slots.release(start.executor());
    ready.add(start.executor());
  }

  @Override
  public List<Arrival> abandoned(long now) {
    List<Arrival> result = List.copyOf(abandoned);
    abandoned.clear();
    return result;
  }
}
