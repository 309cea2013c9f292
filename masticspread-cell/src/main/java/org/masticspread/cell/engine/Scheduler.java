package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.cell.policy.Placement;
import org.masticspread.cell.policy.Room;
import org.masticspread.cell.policy.StartOrder;
import org.masticspread.cell.policy.StartOrder.Candidate;
import org.masticspread.model.cell.QueueRule;

/** Gives waiting steps room, in order, and asks for the advice that they need before. */
final class Scheduler {
  /** Expected run times change slowly. */
  private static final Duration LATEST_START_KEPT = Duration.ofSeconds(1);

  /** Workers asked about for each waiting task, and in any case: some are not approved. */
  private static final int ASKED_PER_TASK = 3;

  private static final int ASKED_AT_LEAST = 8;

  /** A job may stand still for 3 s, advice included, while half of the capacity is free. */
  private static final Duration LONGEST_IDLE = Duration.ofMillis(1500);

  private final CellPorts ports;
  private final JobBook jobs;
  private final Fleet fleet;
  private final Cell cell;
  private final Launcher launcher;
  private final Approvals approvals;
  private final Gangs gangs;

  Scheduler(CellPorts ports, JobBook jobs, Fleet fleet, Cell cell, Launcher launcher) {
    this.ports = ports;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cell = cell;
    this.launcher = launcher;
    this.approvals = new Approvals(ports, cell, fleet);
    this.gangs = new Gangs(ports, cell, launcher, approvals);
  }

  /** Starts what has room and asks for advice. */
  void pass() {
    long now = now();
    boolean unheard = fleet.unheard();
    List<Waiting> waiting = new ArrayList<>();
    for (Job job : jobs.open()) {
      boolean mayRunElsewhere = unheard && job.epoch < ports.term().epoch();
      Optional<QueueRule> queue = cell.queue(job);
      if (job.durable && !mayRunElsewhere && queue.isPresent()) {
        job.lookedAt(now);
        collect(job, queue.get(), waiting);
      }
    }
    Comparator<Candidate> order = StartOrder.at(now);
    waiting.sort(Comparator.comparing(Waiting::candidate, order));
    Outlook outlook = new Outlook(fleet, now);
    for (Waiting next : waiting) {
      if (next.step.spec.gang()) {
        gangs.start(next.step, next.queue, outlook);
      } else {
        startTasks(next, outlook);
      }
    }
  }

  private void collect(Job job, QueueRule queue, List<Waiting> waiting) {
    for (List<Step> steps : job.occurrences.values()) {
      for (Step step : steps) {
        if (step.done() || !job.ready(step) || !due(step)) {
          continue;
        }
        if (step.spec.gang()) {
          gangs.watchPartial(step);
        }
        boolean startable = step.spec.gang() ? !step.anyRun() : step.anyWaiting();
        if (startable) {
          if (step.readyAtMillis < 0) {
            step.readyAtMillis = now();
          }
          waiting.add(new Waiting(step, queue, candidate(step, queue)));
        }
      }
    }
  }

  private boolean due(Step step) {
    return !step.job.order.recurrence().timed()
        || !cell.timeOfDay().isBefore(step.job.order.recurrence().due(step.occurrence));
  }

  private Candidate candidate(Step step, QueueRule queue) {
    long now = now();
    boolean known = step.latestStartAtMillis >= 0;
    if (!known || now - step.latestStartAtMillis > LATEST_START_KEPT.toMillis()) {
      step.latestStartMillis = latestStart(step, queue);
      step.latestStartAtMillis = now;
    }
    boolean holdsRoom = !step.claimed.isEmpty();
    return new Candidate(queue.priority(), holdsRoom, step.latestStartMillis, step.name);
  }

  private long latestStart(Step step, QueueRule queue) {
    long path = Job.pathMillis(step.job.order, spec -> cell.expectedMillis(queue, spec));
    long objective = (long) (queue.stretch() * path) + queue.target().toMillis();
    long begin = step.job.acceptedMillis;
    if (step.job.order.recurrence().timed()) {
      Duration ago =
          Duration.between(step.job.order.recurrence().due(step.occurrence), cell.timeOfDay());
      begin = now() - ago.toMillis();
    }
    return begin + objective - cell.expectedMillis(queue, step.spec);
  }

  private void startTasks(Waiting next, Outlook outlook) {
    Step step = next.step;
    boolean urgent = next.queue.priority() == 0;
    long runs = cell.expectedMillis(next.queue, step.spec);
    List<Worker> allowed = approvals.startable(step, next.queue, outlook);
    List<Worker> startable = roomy(step, allowed, runs, outlook, false);
    boolean takesKept = startable.isEmpty() && standsTooLong(next, outlook);
    if (takesKept) {
      startable = roomy(step, allowed, runs, outlook, true);
    }
    int left = step.waiting();
    for (Task task : step.tasks) {
      if (!task.waiting()) {
        continue;
      }
      Optional<Room> room =
          Placement.single(
              startable, step.spec, step.name, urgent, ports.limits().crossRackSlowdown());
      if (room.isEmpty()) {
        break;
      }
      Worker worker = (Worker) room.get();
      Run run = launcher.book(task, worker, step.nextRun(cell.runBase()));
      run.expectedMillis = (long) (runs * cell.slowdown(worker, step.spec));
      outlook.started(worker, step.spec.booked(), now() + run.expectedMillis);
      if (!hasRoom(step, worker, runs, outlook)) {
        startable.remove(worker);
      }
      launcher.start(run, approvals.ticket(step, worker));
      left--;
      if (takesKept) {
        long idle = outlook.nowMillis() - step.job.idleSinceMillis;
        ports.log().event("task-takes-kept-room", task.name, "worker", worker.id(), "idleMs", idle);
        step.job.idleSinceMillis = -1;
        takesKept = false;
        break;
      }
    }
    if (left > 0 && approvals.mayAsk(step, next.queue)) {
      List<Worker> roomy = roomy(step, outlook.workers(next.queue), runs, outlook, takesKept);
      askForTasks(next, roomy, left);
    }
  }

  /** Returns the workers with room for a task, beside what gangs keep or in place of it. */
  private List<Worker> roomy(
      Step step, List<Worker> workers, long runs, Outlook outlook, boolean takesKept) {
    List<Worker> roomy = new ArrayList<>();
    for (Worker worker : workers) {
      if (takesKept ? hasRoom(step, worker) : hasRoom(step, worker, runs, outlook)) {
        roomy.add(worker);
      }
    }
    return roomy;
  }

  /**
   * Tells whether nothing of a job has run for so long that its first task may take room which a
   * gang keeps. While half of the capacity is in use, its work waits like all other.
   */
  private boolean standsTooLong(Waiting next, Outlook outlook) {
    Job job = next.step.job;
    long since = Math.max(job.idleSinceMillis, next.step.readyAtMillis);
    return job.idleSinceMillis >= 0
        && outlook.nowMillis() - since >= LONGEST_IDLE.toMillis()
        && 2 * fleet.freeMillicores(next.queue.endpoint())
            > fleet.capacityMillicores(next.queue.endpoint());
  }

  private static boolean hasRoom(Step step, Worker worker) {
    return step.spec.booked().fitsIn(worker.free())
        && fits(step, worker)
        && Placement.slots(worker, step.spec, step.name) > 0;
  }

  private boolean hasRoom(Step step, Worker worker, long runs, Outlook outlook) {
    return hasRoom(step, worker)
        && outlook.admits(
            worker, step.spec.booked(), now() + (long) (runs * cell.slowdown(worker, step.spec)));
  }

  private void askForTasks(Waiting next, List<Worker> roomy, int tasks) {
    Step step = next.step;
    List<Worker> open = new ArrayList<>();
    for (Worker worker : roomy) {
      Step.Approval approval = approvals.of(step, worker);
      boolean lapsed =
          approval != null
              && approval.approved()
              && !approvals.startable(step, next.queue, worker, now());
      if (approval == null || lapsed) {
        open.add(worker);
      }
    }
    Map<Worker, Double> slowdowns = new HashMap<>();
    open.forEach(worker -> slowdowns.put(worker, cell.slowdown(worker, step.spec)));
    open.sort(Comparator.comparingDouble(slowdowns::get));
    int most =
        Math.min(Approvals.MOST_WORKERS_PER_CALL, Math.max(ASKED_AT_LEAST, tasks * ASKED_PER_TASK));
    if (!open.isEmpty()) {
      approvals.ask(step, next.queue, open.subList(0, Math.min(most, open.size())));
    }
  }

  static boolean fits(Step step, Worker worker) {
    String label = step.spec.label();
    return step.spec.booked().fitsIn(worker.capacity())
        && (label.isEmpty() || worker.entry.labels().contains(label));
  }

  private long now() {
    return ports.clock().millis();
  }

  private record Waiting(Step step, QueueRule queue, Candidate candidate) {}
}
