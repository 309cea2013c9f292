package org.masticspread.cell.testing;

import io.reactivex.rxjava3.core.Single;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import org.masticspread.cell.port.WorkerEntry;
import org.masticspread.cell.port.WorkerPort;
import org.masticspread.cell.port.WorkerView;
import org.masticspread.cell.port.WorkerView.EndKind;
import org.masticspread.cell.port.WorkerView.Ended;
import org.masticspread.cell.port.WorkerView.Running;
import org.masticspread.model.resource.ResourceVector;

/**
 * Workers in memory that keep the platform's rules: fences, leases, runs that rise, ends that are
 * told until they are acknowledged. Checks while they run that no task runs twice and that none is
 * overfilled; {@link #violations} lists what broke.
 */
public final class FakeWorkers implements WorkerPort {
  private static final Duration LATENCY = Duration.ofMillis(1);
  private static final Duration TIMEOUT = Duration.ofMillis(500);

  private final VirtualTime time;
  private final Map<String, State> workers = new LinkedHashMap<>();
  private final Map<String, ResourceVector> demands = new HashMap<>();
  private final Map<String, Long> runMillis = new HashMap<>();
  private final List<String> starts = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final List<String> succeeded = new ArrayList<>();

  /** Creates a pool without workers. */
  public FakeWorkers(VirtualTime time) {
    this.time = time;
  }

  /** A worker's state, which tests may change. */
  public static final class State {
    public final WorkerEntry entry;
    public boolean silent;
    public boolean failsAll;
    public boolean losesNextStart;
    public Duration nextStartLate;
    public long life = 1;
    final Map<String, RunState> running = new LinkedHashMap<>();
    final Map<String, Long> highest = new HashMap<>();
    final List<Ended> ended = new ArrayList<>();
    long lastEnd;
    long token;
    long leaseUntil;

    State(WorkerEntry entry) {
      this.entry = entry;
    }
  }

  private record RunState(String task, long run, long begunMillis) {}

  /** Adds a worker and returns its state. */
  public State add(String id, String rack, long millicores) {
    WorkerEntry entry =
        new WorkerEntry(
            id,
            "desk",
            "127.0.0.1:1",
            "dc",
            rack,
            List.of("a", rack),
            new ResourceVector(millicores, 1L << 40, 0),
            false,
            1,
            "");
    State state = new State(entry);
    workers.put(id, state);
    return state;
  }

  /** Returns the state of a worker. */
  public State state(String id) {
    return workers.get(id);
  }

  /** Returns the entries of all workers. */
  public List<WorkerEntry> entries() {
    return workers.values().stream().map(state -> state.entry).toList();
  }

  /** Tells what the tasks of a job need and how long they run. */
  public void describe(String job, ResourceVector demand, Duration runs) {
    demands.put(job, demand);
    runMillis.put(job, runs.toMillis());
  }

  /** Returns each start that was carried out: worker, task, run. */
  public List<String> starts() {
    return starts;
  }

  /** Returns the promises that were broken. */
  public List<String> violations() {
    return violations;
  }

  /** Returns the tasks that succeeded, in order. */
  public List<String> succeeded() {
    return succeeded;
  }

  /** Ends the process of a worker and starts it anew. */
  public void restart(String id) {
    State state = workers.get(id);
    state.running.clear();
    state.highest.clear();
    state.ended.clear();
    state.lastEnd = 0;
    state.token = 0;
    state.leaseUntil = 0;
    state.life++;
  }

  @Override
  public Single<OrderResult> start(WorkerEntry worker, Start order) {
    State state = workers.get(worker.id());
    boolean lost = state.silent || state.losesNextStart || state.nextStartLate != null;
    Duration late = state.nextStartLate;
    boolean neverArrives = state.silent || state.losesNextStart;
    state.losesNextStart = false;
    state.nextStartLate = null;
    return Single.create(
        emitter -> {
          if (!neverArrives) {
            time.after(late == null ? LATENCY : late, () -> begin(state, order));
          }
          if (lost) {
            time.after(TIMEOUT, () -> emitter.onSuccess(OrderResult.of(Outcome.UNKNOWN)));
          } else {
            time.after(
                LATENCY, () -> emitter.onSuccess(new OrderResult(outcome(state, order), clock())));
          }
        });
  }

  private Outcome outcome(State state, Start order) {
    if (order.token() < state.token) {
      return Outcome.FENCED;
    }
    RunState run = state.running.get(order.task());
    boolean there = run != null && run.run == order.run();
    boolean ended = state.highest.getOrDefault(order.task(), 0L) == order.run();
    return there || ended ? Outcome.DONE : Outcome.OUTDATED;
  }

  private void begin(State state, Start order) {
    boolean outdated = state.highest.getOrDefault(order.task(), 0L) >= order.run();
    boolean late = order.leaseUntilMillis() < time.millis();
    if (order.token() < state.token || outdated || late) {
      return;
    }
    state.token = order.token();
    state.leaseUntil = Math.max(state.leaseUntil, order.leaseUntilMillis());
    state.highest.put(order.task(), order.run());
    starts.add(state.entry.id() + " " + order.task() + " " + order.run());
    check(state, order.task());
    RunState run = new RunState(order.task(), order.run(), time.millis());
    state.running.put(order.task(), run);
    time.after(Duration.ofMillis(takes(order.task())), () -> finish(state, run));
    watchLease(state);
  }

  private void check(State state, String task) {
    for (State other : workers.values()) {
      if (other.running.containsKey(task)) {
        violations.add(task + " runs twice");
      }
    }
    if (succeeded.contains(task)) {
      violations.add(task + " starts after its success");
    }
    long booked = demand(task);
    for (String running : state.running.keySet()) {
      booked += demand(running);
    }
    if (booked > state.entry.capacity().millicores()) {
      violations.add(state.entry.id() + " is overfilled by " + task);
    }
  }

  private void watchLease(State state) {
    long wait = Math.max(1, state.leaseUntil - time.millis());
    time.after(
        Duration.ofMillis(wait),
        () -> {
          if (state.running.isEmpty()) {
            return;
          }
          if (time.millis() < state.leaseUntil) {
            watchLease(state);
            return;
          }
          List.copyOf(state.running.values()).forEach(run -> end(state, run, EndKind.LAPSED));
        });
  }

  private long demand(String task) {
    ResourceVector demand = demands.get(jobOf(task));
    return demand == null ? 0 : demand.millicores();
  }

  private long takes(String task) {
    return runMillis.getOrDefault(jobOf(task), 100L);
  }

  private static String jobOf(String task) {
    return task.substring(0, task.indexOf('.'));
  }

  private void finish(State state, RunState run) {
    if (state.running.get(run.task) == run) {
      end(state, run, state.failsAll ? EndKind.FAILED : EndKind.SUCCEEDED);
    }
  }

  private void end(State state, RunState run, EndKind how) {
    state.running.remove(run.task);
    if (how == EndKind.SUCCEEDED) {
      succeeded.add(run.task);
    }
    state.ended.add(new Ended(++state.lastEnd, run.task, run.run, how, ""));
  }

  @Override
  public Single<OrderResult> stop(WorkerEntry worker, String task, long run, long token) {
    State state = workers.get(worker.id());
    return Single.create(
        emitter -> {
          if (state.silent) {
            time.after(TIMEOUT, () -> emitter.onSuccess(OrderResult.of(Outcome.UNKNOWN)));
            return;
          }
          time.after(
              LATENCY,
              () -> {
                if (token < state.token) {
                  emitter.onSuccess(OrderResult.of(Outcome.FENCED));
                  return;
                }
                state.highest.merge(task, run, Math::max);
                RunState current = state.running.get(task);
                if (current != null && current.run <= run) {
                  end(state, current, EndKind.STOPPED);
                }
                emitter.onSuccess(new OrderResult(Outcome.DONE, clock()));
              });
        });
  }

  @Override
  public Single<OrderResult> pace(
      WorkerEntry worker, String task, long run, int percent, long token) {
    return Single.just(new OrderResult(Outcome.DONE, clock()));
  }

  @Override
  public Single<RenewResult> renew(WorkerEntry worker, Renewal renewal) {
    State state = workers.get(worker.id());
    return Single.create(
        emitter -> {
          if (state.silent) {
            time.after(
                TIMEOUT,
                () -> emitter.onSuccess(new RenewResult(Outcome.UNKNOWN, Optional.empty())));
            return;
          }
          // The real worker answers at the first end; a short wait is near enough.
          Duration wait = renewal.patience().isZero() ? LATENCY : Duration.ofMillis(20);
          time.after(wait, () -> emitter.onSuccess(look(state, renewal)));
        });
  }

  private RenewResult look(State state, Renewal renewal) {
    if (renewal.token() < state.token) {
      return new RenewResult(Outcome.FENCED, Optional.empty());
    }
    state.token = renewal.token();
    renewal.leaseUntilMillis().ifPresent(end -> state.leaseUntil = Math.max(state.leaseUntil, end));
    state.ended.removeIf(end -> end.number() <= renewal.acknowledged());
    List<Running> running =
        state.running.values().stream()
            .map(run -> new Running(run.task, run.run, "", percent(run), 0))
            .toList();
    WorkerView view = new WorkerView(time.millis(), state.life, running, List.copyOf(state.ended));
    return new RenewResult(Outcome.DONE, Optional.of(view));
  }

  private int percent(RunState run) {
    return (int) Math.min(99, (time.millis() - run.begunMillis) * 100 / takes(run.task));
  }

  private OptionalLong clock() {
    return OptionalLong.of(time.millis());
  }
}
