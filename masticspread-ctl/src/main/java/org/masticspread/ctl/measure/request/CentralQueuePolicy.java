package org.masticspread.ctl.measure.request;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.IntUnaryOperator;
import java.util.function.ToIntFunction;

/**
 * Baseline policies with central FIFO queues, by group, that start requests on any free executor.
 */
final class CentralQueuePolicy implements RequestPolicy {
  private static final int QUEUE_LIMIT = 20_000;

  private final ToIntFunction<Arrival> group;
  private final boolean roundRobin;
  private final IntUnaryOperator executorChoice;
  private final List<Deque<Arrival>> queues = new ArrayList<>();
  private final List<Arrival> abandoned = new ArrayList<>();
  private final Slots slots;
  private int queued;
  private int lastGroup;

  private CentralQueuePolicy(
      int groups,
      ToIntFunction<Arrival> group,
      boolean roundRobin,
      Deployment deployment,
      IntUnaryOperator executorChoice) {
    this.group = group;
    this.roundRobin = roundRobin;
    this.executorChoice = executorChoice;
    this.slots = new Slots(deployment);
    for (int i = 0; i < groups; i++) {
      queues.add(new ArrayDeque<>());
    }
  }

  /**
   * Returns a policy with one queue; {@code executorChoice} draws the first executor to try from a
   * count of executors.
   */
  static RequestPolicy fifo(Deployment deployment, IntUnaryOperator executorChoice) {
    return new CentralQueuePolicy(1, arrival -> 0, false, deployment, executorChoice);
  }

  /** Returns a policy with a queue for each urgency, the most urgent one first. */
  static RequestPolicy strictPriority(Deployment deployment, IntUnaryOperator executorChoice) {
    return new CentralQueuePolicy(3, Arrival::urgency, false, deployment, executorChoice);
  }

  /** Returns a policy with a queue for each team, served in round-robin order. */
  static RequestPolicy roundRobinByTeam(Deployment deployment, IntUnaryOperator executorChoice) {
    int teams = deployment.configuration().teams().size();
    return new CentralQueuePolicy(teams, Arrival::team, true, deployment, executorChoice);
  }

  @Override
  public boolean offer(Arrival arrival, long now) {
    if (queued >= QUEUE_LIMIT) {
      return false;
    }
    queued++;
    queues.get(group.applyAsInt(arrival)).add(arrival);
    return true;
  }

  @Override
  public Start next(long now) {
    if (slots.free() == 0) {
      return null;
    }
    Arrival arrival = take(now);
    if (arrival == null) {
      return null;
    }
    int executor = slots.firstFree(executorChoice.applyAsInt(slots.executors()));
    slots.take(executor);
    return new Start(arrival, executor, null);
  }

  private Arrival take(long now) {
    int start = roundRobin ? lastGroup + 1 : 0;
    for (int i = 0; i < queues.size(); i++) {
      int index = (start + i) % queues.size();
      Arrival arrival = takeFrom(queues.get(index), now);
      if (arrival != null) {
        lastGroup = index;
        return arrival;
      }
    }
    return null;
  }

  private Arrival takeFrom(Deque<Arrival> queue, long now) {
    while (!queue.isEmpty()) {
      queued--;
      Arrival arrival = queue.poll();
      if (arrival.answerBy > now) {
        return arrival;
      }
      abandoned.add(arrival);
    }
    return null;
  }

  @Override
  public void finished(Start start, long took, long now) {
    slots.release(start.executor());
  }

  @Override
  public List<Arrival> abandoned(long now) {
    List<Arrival> result = List.copyOf(abandoned);
    abandoned.clear();
    return result;
  }
}
