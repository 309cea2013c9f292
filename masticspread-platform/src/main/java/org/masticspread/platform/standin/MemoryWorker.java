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

/** An in-memory worker of a {@link WorkerFleet}. Thread-safe. */
final class MemoryWorker {
  private static final int MAX_KNOWN_ATTEMPTS = 20_000;
  private static final int MAX_PAST_RUNS = 20_000;

  private final WorkerId id;
  private final ResourceVector capacity;
  private final InstantSource clock;
  private final Duration usageLag;
  private final TaskScript script;
  private final Map<TaskKey, MemoryTask> tasks = new LinkedHashMap<>();
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
    Instant now = admitCall(rackEpoch);
    return report(now);
  }

  synchronized Void start(long rackEpoch, StartTask start) throws WorkerException {
    Instant now = admitCall(rackEpoch);
    if (!now.isBefore(start.startBefore()) || !now.isBefore(start.leaseUntil())) {
      throw rejection(Reason.TOO_LATE, start.task() + " arrived too late");
    }
    if (tasks.containsKey(start.task())
        || attempts.getOrDefault(start.task(), 0) >= start.attempt()) {
      throw rejection(Reason.DUPLICATE, start.task() + " was started before");
    }
    if (!held().plus(start.size()).fitsIn(capacity)) {
      throw rejection(Reason.OVERFULL, start.task() + " exceeds the free capacity");
    }
    MemoryTask task = new MemoryTask(start, script.plan(id, start), now, usageLag);
    tasks.put(start.task(), task);
    recordAttempt(start);
    task.advance(now);
    return null;
  }

  synchronized WorkerReport renew(
      long rackEpoch, Instant leaseUntil, List<TaskAttempt> acknowledged) throws WorkerException {
    Instant now = admitCall(rackEpoch);
    tasks.values().forEach(task -> task.renew(leaseUntil));
    acknowledged.forEach(this::acknowledge);
    return report(now);
  }

  synchronized Void order(long rackEpoch, TaskAttempt attempt, TaskOrder order)
      throws WorkerException {
    Instant now = admitCall(rackEpoch);
    MemoryTask task = tasks.get(attempt.task());
    if (task != null && task.attempt().equals(attempt)) {
      task.apply(order, now);
    }
    return null;
  }

  synchronized void advance() {
    Instant now = clock.instant();
    tasks.values().forEach(task -> task.advance(now));
  }

  /** Ends all tasks and rejects all calls until {@link #revive}. */
  synchronized void kill() {
    advance();
    Instant now = clock.instant();
    tasks.values().forEach(task -> task.failWithWorker(now));
    List.copyOf(tasks.values()).forEach(this::removeTask);
    alive = false;
  }

  /** Accepts calls again, without the tasks, the epoch and the attempts of before. */
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
    for (MemoryTask task : tasks.values()) {
      sum = task.isRunning() ? sum.plus(task.size()) : sum;
    }
    return sum;
  }

  private Instant admitCall(long rackEpoch) throws WorkerException {
    if (!alive) {
      throw rejection(Reason.UNREACHABLE, "down");
    }
    if (rackEpoch < epoch) {
      throw rejection(Reason.STALE_EPOCH, "epoch " + rackEpoch + " is below " + epoch);
    }
    epoch = rackEpoch;
    advance();
    return clock.instant();
  }

  private WorkerException rejection(Reason reason, String detail) {
    return new WorkerException(reason, "worker " + id + ": " + detail, null);
  }

  private WorkerReport report(Instant now) {
    return new WorkerReport(
        id, epoch, tasks.values().stream().map(task -> task.report(now)).toList());
  }

  private void recordAttempt(StartTask start) {
    attempts.remove(start.task());
    attempts.put(start.task(), start.attempt());
    if (attempts.size() > MAX_KNOWN_ATTEMPTS) {
      attempts.remove(attempts.keySet().iterator().next());
    }
  }

  private void acknowledge(TaskAttempt attempt) {
    MemoryTask task = tasks.get(attempt.task());
    if (task != null && !task.isRunning() && task.attempt().equals(attempt)) {
      removeTask(task);
    }
  }

  private void removeTask(MemoryTask task) {
    tasks.remove(task.attempt().task());
    pastRuns.addLast(task.run(id));
    if (pastRuns.size() > MAX_PAST_RUNS) {
      pastRuns.removeFirst();
    }
  }
}
