package org.masticspread.platform.standin;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerException.Reason;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.resource.ResourceVector;

/** One worker of a fleet. Thread-safe. */
final class MemoryWorker {
  private static final int MOST_KNOWN_ATTEMPTS = 20_000;
  private static final int MOST_PAST_RUNS = 20_000;

  private final WorkerId id;
  private final ResourceVector capacity;
  private final InstantSource clock;
  private final Duration usageLag;
  private final TaskScript script;
  private final Map<TaskKey, HeldTask> tasks = new LinkedHashMap<>();
  private final Map<TaskKey, Integer> attempts = new LinkedHashMap<>();
  private final Deque<TaskRun> pastRuns = new ArrayDeque<>();
  private long epoch;
  private boolean alive = true;

  MemoryWorker(
      WorkerId id,
      ResourceVector capacity,
      InstantSource clock,
      Duration usageLag,
      TaskScript script) {
    this.id = id;
    this.capacity = capacity;
    this.clock = clock;
    this.usageLag = usageLag;
    this.script = script;
  }

  synchronized WorkerReport seal(long rackEpoch) throws WorkerException {
    Instant now = admit(rackEpoch);
    return report(now);
  }

  synchronized Void start(long rackEpoch, StartTask start) throws WorkerException {
    Instant now = admit(rackEpoch);
    if (!now.isBefore(start.startBefore()) || !now.isBefore(start.leaseUntil())) {
      throw refuse(Reason.TOO_LATE, start.task() + " came too late");
    }
    if (tasks.containsKey(start.task())
        || attempts.getOrDefault(start.task(), 0) >= start.attempt()) {
      throw refuse(Reason.DUPLICATE, start.task() + " is known");
    }
    if (!held().plus(start.size()).fitsIn(capacity)) {
      throw refuse(Reason.OVERFULL, start.task() + " has no room");
    }
    HeldTask task = new HeldTask(start, script.plan(id, start), now, usageLag);
    tasks.put(start.task(), task);
    remember(start);
    task.advance(now);
    return null;
  }

  synchronized WorkerReport renew(long rackEpoch, Instant leaseUntil, List<TaskAttempt> ended)
      throws WorkerException {
    Instant now = admit(rackEpoch);
    tasks.values().forEach(task -> task.renew(leaseUntil));
    ended.forEach(this::forget);
    return report(now);
  }

  synchronized Void order(long rackEpoch, TaskAttempt attempt, TaskOrder order)
      throws WorkerException {
    Instant now = admit(rackEpoch);
    HeldTask task = tasks.get(attempt.task());
    if (task != null && task.attempt().equals(attempt)) {
      task.obey(order, now);
    }
    return null;
  }

  synchronized void advance() {
    Instant now = clock.instant();
    tasks.values().forEach(task -> task.advance(now));
  }

  /** Ends all tasks and answers nothing from then on. */
  synchronized void kill() {
    advance();
    Instant now = clock.instant();
    tasks.values().forEach(task -> task.die(now));
    List.copyOf(tasks.values()).forEach(this::drop);
    alive = false;
  }

  /** Answers again, with no tasks; it has seen no epoch and no attempt since its start. */
  synchronized void revive() {
    alive = true;
    epoch = 0;
    attempts.clear();
  }

  synchronized List<TaskRun> runs() {
    advance();
    Stream<TaskRun> present = tasks.values().stream().map(task -> task.run(id));
    return Stream.concat(pastRuns.stream(), present).toList();
  }

  synchronized ResourceVector held() {
    ResourceVector sum = ResourceVector.ZERO;
    for (HeldTask task : tasks.values()) {
      sum = task.isRunning() ? sum.plus(task.size()) : sum;
    }
    return sum;
  }

  private Instant admit(long rackEpoch) throws WorkerException {
    if (!alive) {
      throw refuse(Reason.UNREACHABLE, "down");
    }
    if (rackEpoch < epoch) {
      throw refuse(Reason.STALE_EPOCH, "epoch " + rackEpoch + " is below " + epoch);
    }
    epoch = rackEpoch;
    advance();
    return clock.instant();
  }

  private WorkerException refuse(Reason reason, String detail) {
    return new WorkerException(reason, "worker " + id + ": " + detail, null);
  }

  private WorkerReport report(Instant now) {
    return new WorkerReport(
        id, epoch, tasks.values().stream().map(task -> task.report(now)).toList());
  }

  private void remember(StartTask start) {
    attempts.remove(start.task());
    attempts.put(start.task(), start.attempt());
    if (attempts.size() > MOST_KNOWN_ATTEMPTS) {
      attempts.remove(attempts.keySet().iterator().next());
    }
  }

  private void forget(TaskAttempt attempt) {
    HeldTask task = tasks.get(attempt.task());
    if (task != null && !task.isRunning() && task.attempt().equals(attempt)) {
      drop(task);
    }
  }

  private void drop(HeldTask task) {
    tasks.remove(task.attempt().task());
    pastRuns.addLast(task.run(id));
    if (pastRuns.size() > MOST_PAST_RUNS) {
      pastRuns.removeFirst();
    }
  }
}
