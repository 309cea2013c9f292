package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import org.masticspread.cell.policy.Admission;
import org.masticspread.cell.policy.Placement;
import org.masticspread.cell.policy.Room;
import org.masticspread.cell.policy.StartOrder;
import org.masticspread.cell.policy.StartOrder.Candidate;
import org.masticspread.model.cell.AdviceRule;
import org.masticspread.model.cell.JobOrder;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.cell.StepSpec;
import org.masticspread.model.peer.AdviceReply;

/** Gives waiting steps room, in order, and asks for the advice that they need before. */
final class Scheduler {
  /** A ticket must still hold when the start arrives. */
  private static final Duration TICKET_MARGIN = Duration.ofMillis(60);

  /** Expected run times change slowly. */
  private static final Duration LATEST_START_KEPT = Duration.ofSeconds(1);

  /** After advice that approved nothing new, it is asked for again so much later. */
  private static final Duration ADVICE_PAUSE = Duration.ofMillis(150);

  /** The advisor takes at most so many workers in a call. */
  private static final int MOST_WORKERS_ASKED = 100;

  /** Workers asked about for each waiting task, and in any case: some are not approved. */
  private static final int ASKED_PER_TASK = 3;

  private static final int ASKED_AT_LEAST = 8;

  /** Members of a broken gang end by themselves sooner than this. */
  private static final Duration PARTIAL_GANG = Duration.ofMillis(600);

  /** Gangs whose tickets are kept fresh and whose workers are kept free while they wait. */
  private static final int GANGS_AHEAD = 2;

  private final CellPorts ports;
  private final JobBook jobs;
  private final Fleet fleet;
  private final Cell cell;
  private final Launcher launcher;

  Scheduler(CellPorts ports, JobBook jobs, Fleet fleet, Cell cell, Launcher launcher) {
    this.ports = ports;
    this.jobs = jobs;
    this.fleet = fleet;
    this.cell = cell;
    this.launcher = launcher;
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
        collect(job, queue.get(), waiting);
      }
    }
    Comparator<Candidate> order = StartOrder.at(now);
    waiting.sort(Comparator.comparing(Waiting::candidate, order));
    Map<String, List<Worker>> usable = new HashMap<>();
    Set<Worker> reserved = new HashSet<>();
    int gangsBlocked = 0;
    for (Waiting next : waiting) {
      List<Worker> workers = usable.computeIfAbsent(next.queue.endpoint(), fleet::usable);
      if (next.step.spec.gang()) {
        gangsBlocked += startGang(next, workers, reserved, gangsBlocked) ? 0 : 1;
      } else {
        startTasks(next, workers, reserved);
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
          watchPartialGang(step);
        }
        boolean startable =
            step.spec.gang() ? !step.anyRun() : step.tasks.stream().anyMatch(Task::waiting);
        if (startable) {
          if (step.readyAtMillis < 0) {
            step.readyAtMillis = now();
          }
          waiting.add(new Waiting(step, queue, candidate(step, queue)));
        }
      }
    }
  }

  /**
   * A gang of which only some members run, as after a change of the leader, never begins: it is
   * stopped, to start anew.
   */
  private void watchPartialGang(Step step) {
    boolean partial = step.anyRun() && step.tasks.stream().anyMatch(Task::waiting);
    if (!partial) {
      step.partialSinceMillis = -1;
      return;
    }
    if (step.partialSinceMillis < 0) {
      step.partialSinceMillis = now();
    }
    if (now() - step.partialSinceMillis >= PARTIAL_GANG.toMillis()) {
      for (Task member : step.tasks) {
        if (member.run != null && !member.run.stopWanted) {
          launcher.stop(member.run, "the gang is not complete");
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
    return new Candidate(queue.priority(), step.latestStartMillis, step.name);
  }

  private long latestStart(Step step, QueueRule queue) {
    long path = step.job.pathMillis(spec -> expectedMillis(queue, spec));
    long objective = (long) (queue.stretch() * path) + queue.target().toMillis();
    long begin = step.job.acceptedMillis;
    if (step.job.order.recurrence().timed()) {
      Duration ago =
          Duration.between(step.job.order.recurrence().due(step.occurrence), cell.timeOfDay());
      begin = now() - ago.toMillis();
    }
    return begin + objective - expectedMillis(queue, step.spec);
  }

  private long expectedMillis(QueueRule queue, StepSpec spec) {
    return (long) fleet.speeds.expectedMillis(queue.name(), spec.estimate().toMillis());
  }

  private void startTasks(Waiting next, List<Worker> workers, Set<Worker> reserved) {
    Step step = next.step;
    boolean urgent = next.queue.priority() == 0;
    List<Worker> eligible = new ArrayList<>();
    for (Worker worker : workers) {
      if (eligible(step, next.queue, worker) && (urgent || !reserved.contains(worker))) {
        eligible.add(worker);
      }
    }
    int left = 0;
    for (Task task : step.tasks) {
      if (!task.waiting()) {
        continue;
      }
      Optional<Room> room =
          left > 0
              ? Optional.empty()
              : Placement.single(
                  eligible, step.spec, step.name, urgent, ports.limits().farSlowdown());
      if (room.isEmpty()) {
        left++;
        continue;
      }
      Worker worker = (Worker) room.get();
      Run run = launcher.book(task, worker, step.nextRun(cell.runBase()));
      launcher.start(run, ticket(step, worker));
    }
    if (left > 0 && next.queue.advice().isPresent()) {
      askForTasks(next, workers, reserved, left);
    }
  }

  private void askForTasks(Waiting next, List<Worker> workers, Set<Worker> reserved, int tasks) {
    Step step = next.step;
    boolean urgent = next.queue.priority() == 0;
    List<Worker> open = new ArrayList<>();
    for (Worker worker : workers) {
      if (fits(step, worker)
          && (urgent || !reserved.contains(worker))
          && Placement.slots(worker, step.spec, step.name) > 0
          && worthAsking(step, worker)) {
        open.add(worker);
      }
    }
    open.sort(Comparator.comparingDouble(worker -> cell.slowdown(worker, step.spec)));
    int most = Math.min(MOST_WORKERS_ASKED, Math.max(ASKED_AT_LEAST, tasks * ASKED_PER_TASK));
    ask(next, open.subList(0, Math.min(most, open.size())));
  }

  /** Starts a gang if there is room for all of it; returns false if it goes on waiting. */
  private boolean startGang(
      Waiting next, List<Worker> workers, Set<Worker> reserved, int gangsBlocked) {
    Step step = next.step;
    AdviceRule advice = next.queue.advice().orElse(null);
    boolean urgent = next.queue.priority() == 0;
    List<Worker> possible = new ArrayList<>();
    List<Worker> eligible = new ArrayList<>();
    List<Worker> unknown = new ArrayList<>();
    for (Worker worker : workers) {
      if (!fits(step, worker) || (!urgent && reserved.contains(worker))) {
        continue;
      }
      if (eligible(step, next.queue, worker)) {
        eligible.add(worker);
      }
      Step.Approval approval = approval(step, worker);
      if (advice == null || (approval != null && approval.approved())) {
        possible.add(worker);
      }
      if (approval == null) {
        unknown.add(worker);
      }
    }
    List<Room> chosen =
        Placement.gang(eligible, step.spec, step.name, ports.limits().farSlowdown());
    if (!chosen.isEmpty()) {
      launchGang(step, chosen);
      return true;
    }
    if (advice == null) {
      reserve(step, possible, reserved, gangsBlocked);
      return false;
    }
    if (slots(possible, step) < step.tasks.size() && !unknown.isEmpty()) {
      unknown.sort(Comparator.comparingLong(worker -> -worker.free().millicores()));
      ask(next, unknown.subList(0, Math.min(MOST_WORKERS_ASKED, unknown.size())));
      return false;
    }
    List<Room> soon = Placement.gang(possible, step.spec, step.name, ports.limits().farSlowdown());
    if (!soon.isEmpty()) {
      List<Worker> again = new ArrayList<>();
      soon.forEach(room -> addOnce(again, (Worker) room));
      ask(next, again);
      reserved.addAll(again);
      return false;
    }
    reserve(step, possible, reserved, gangsBlocked);
    return false;
  }

  private static void addOnce(List<Worker> workers, Worker worker) {
    if (!workers.contains(worker)) {
      workers.add(worker);
    }
  }

  private static int slots(List<Worker> workers, Step step) {
    int slots = 0;
    for (Worker worker : workers) {
      slots += mostTasks(step, worker);
    }
    return slots;
  }

  /** Counts the tasks of a step that a worker could run if it were empty. */
  private static int mostTasks(Step step, Worker worker) {
    int fitting = Placement.times(step.spec.booked(), worker.capacity());
    int most = step.spec.mostPerWorker();
    return most == 0 ? fitting : Math.min(fitting, most);
  }

  /** Keeps the workers that drain first free for a gang that waits for room. */
  private void reserve(Step step, List<Worker> possible, Set<Worker> reserved, int gangsBlocked) {
    if (gangsBlocked >= GANGS_AHEAD) {
      return;
    }
    List<Worker> byRoom = new ArrayList<>(possible);
    byRoom.sort(Comparator.comparingLong(worker -> -worker.free().millicores()));
    int found = 0;
    for (Worker worker : byRoom) {
      if (found >= step.tasks.size()) {
        return;
      }
      found += mostTasks(step, worker);
      reserved.add(worker);
    }
  }

  private void launchGang(Step step, List<Room> chosen) {
    long number = step.nextRun(cell.runBase());
    List<Run> runs = new ArrayList<>();
    for (int i = 0; i < chosen.size(); i++) {
      runs.add(launcher.book(step.tasks.get(i), (Worker) chosen.get(i), number));
    }
    for (Run run : runs) {
      launcher.start(run, ticket(step, run.worker));
    }
  }

  private boolean fits(Step step, Worker worker) {
    String label = step.spec.label();
    return step.spec.booked().fitsIn(worker.capacity())
        && (label.isEmpty() || worker.entry.labels().contains(label));
  }

  private boolean eligible(Step step, QueueRule queue, Worker worker) {
    if (!fits(step, worker)) {
      return false;
    }
    if (queue.advice().isEmpty()) {
      return true;
    }
    Step.Approval approval = approval(step, worker);
    return approval != null
        && approval.approved()
        && approval.untilMillis() > now() + TICKET_MARGIN.toMillis();
  }

  /** Returns what the advisor said of this life of a worker, or null. */
  private static Step.Approval approval(Step step, Worker worker) {
    Step.Approval approval = step.approvals.get(worker.id());
    return approval == null || approval.life() != worker.life ? null : approval;
  }

  private boolean worthAsking(Step step, Worker worker) {
    Step.Approval approval = approval(step, worker);
    return approval == null
        || (approval.approved() && approval.untilMillis() <= now() + TICKET_MARGIN.toMillis());
  }

  private static String ticket(Step step, Worker worker) {
    Step.Approval approval = step.approvals.get(worker.id());
    return approval == null ? "" : approval.code();
  }

  private void ask(Waiting next, List<Worker> workers) {
    Step step = next.step;
    boolean soon = step.adviceInFlight || now() < step.adviceNotBeforeMillis;
    if (soon || workers.isEmpty() || !ports.advice().open()) {
      return;
    }
    AdviceRule rule = next.queue.advice().orElseThrow();
    List<String> ids = workers.stream().map(Worker::id).toList();
    Map<String, Long> lives = new HashMap<>();
    workers.forEach(worker -> lives.put(worker.id(), worker.life));
    step.adviceInFlight = true;
    long asked = now();
    var unused =
        ports
            .advice()
            .ask(step.name, ids, rule)
            .subscribe(reply -> advised(step, lives, reply, asked));
  }

  private void advised(Step step, Map<String, Long> lives, AdviceReply reply, long asked) {
    step.adviceInFlight = false;
    if (cell.closed()) {
      return;
    }
    ports.metrics().histogram("advice.ms").update(now() - asked);
    ports
        .log()
        .event(
            "step-advice",
            step.name,
            "asked",
            lives.size(),
            "answered",
            reply.answered(),
            "approved",
            reply.tickets().size(),
            "tookMs",
            now() - asked);
    if (!reply.answered()) {
      step.adviceNotBeforeMillis = now() + ADVICE_PAUSE.toMillis();
      cell.requestPass();
      return;
    }
    long until = now() + reply.validityMillis();
    lives.forEach((id, life) -> step.approvals.put(id, new Step.Approval(life, "", 0)));
    for (AdviceReply.Ticket ticket : reply.tickets()) {
      Long life = lives.get(ticket.worker());
      if (life != null) {
        step.approvals.put(ticket.worker(), new Step.Approval(life, ticket.code(), until));
      }
    }
    cell.requestPass();
  }

  /** Returns what the admission of a job rests on. */
  Admission.Facts facts(JobOrder order, QueueRule queue) {
    long path =
        new Job(order, cell.timeOfDay(), ports.term().epoch(), now())
            .pathMillis(spec -> expectedMillis(queue, spec));
    long width = 0;
    for (StepSpec step : order.steps()) {
      width = Math.max(width, step.tasks() * step.booked().millicores());
    }
    long advice = queue.advice().map(rule -> rule.callTime(ASKED_AT_LEAST).toMillis()).orElse(0L);
    long objective = (long) (queue.stretch() * path) + queue.target().toMillis();
    Backlog backlog = backlog(queue);
    return new Admission.Facts(
        fleet.capacityMillicores(queue.endpoint()),
        fleet.freeMillicores(queue.endpoint()),
        backlog.waitingMillicores,
        (long) backlog.waitingCoreMillis,
        (long) backlog.runningCoreMillis,
        width,
        Duration.ofMillis(path + advice),
        Duration.ofMillis(objective));
  }

  /** What waits at the priority of a queue or before it, and all that runs. */
  private Backlog backlog(QueueRule queue) {
    Backlog backlog = new Backlog();
    for (Job job : jobs.open()) {
      Optional<QueueRule> other = cell.queue(job);
      if (other.isPresent() && other.get().endpoint().equals(queue.endpoint())) {
        boolean before = other.get().priority() <= queue.priority();
        backlog.add(job, spec -> expectedMillis(other.get(), spec), before);
      }
    }
    return backlog;
  }

  private static final class Backlog {
    private long waitingMillicores;
    private double waitingCoreMillis;
    private double runningCoreMillis;

    void add(Job job, ToLongFunction<StepSpec> expectedMillis, boolean before) {
      for (List<Step> steps : job.occurrences.values()) {
        for (Step step : steps) {
          long millicores = step.spec.booked().millicores();
          double each = millicores / 1000.0 * expectedMillis.applyAsLong(step.spec);
          boolean ready = job.ready(step);
          for (Task task : step.tasks) {
            if (task.run != null) {
              runningCoreMillis += each * (100 - task.run.percent) / 100;
            } else if (!task.succeeded && before) {
              waitingCoreMillis += each;
              waitingMillicores += ready ? millicores : 0;
            }
          }
        }
      }
    }
  }

  private long now() {
    return ports.clock().millis();
  }

  private record Waiting(Step step, QueueRule queue, Candidate candidate) {}
}
