package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.peer.AdviceReply;

/** What the advisor said of the workers for each step, and the calls that ask it. */
final class Approvals {
  /** A ticket must still hold when the start arrives. */
  private static final Duration TICKET_MARGIN = Duration.ofMillis(60);

  /** After advice that got no answer, it is asked for again so much later. */
  private static final Duration ADVICE_PAUSE = Duration.ofMillis(150);

  /** Workers named in one call: the objective of a job counts one call on so many for each step. */
  static final int WORKERS_PER_CALL = 30;

  /** The advisor takes at most so many workers in a call. */
  static final int MOST_WORKERS_PER_CALL = 100;

  /** Calls for one step at the same time, each from another VM. */
  private static final int MOST_CALLS = 6;

  /** The weight of a new answer in the learned share of approved workers: some ten count. */
  private static final double SHARE_WEIGHT = 0.1;

  /** Below this share an advisor that approves next to none would be asked about all workers. */
  private static final double LOWEST_SHARE = 0.05;

  /** Until an answer says otherwise, this share of the workers is taken to be approved. */
  private static final double FIRST_SHARE = 0.3;

  private final CellPorts ports;
  private final Cell cell;
  private final Fleet fleet;
  private final Map<String, Double> shares = new HashMap<>();

  Approvals(CellPorts ports, Cell cell, Fleet fleet) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
  }

  /** Returns the learned share of workers that a queue's steps may use. */
  double share(QueueRule queue) {
    return Math.max(LOWEST_SHARE, shares.getOrDefault(queue.name(), FIRST_SHARE));
  }

  /** Tells whether a step may start on a worker at a moment. */
  boolean startable(Step step, QueueRule queue, Worker worker, long atMillis) {
    if (queue.advice().isEmpty()) {
      return true;
    }
    Step.Approval approval = of(step, worker);
    return approval != null
        && approval.approved()
        && approval.untilMillis() > atMillis + TICKET_MARGIN.toMillis();
  }

  /** Returns the usable workers on which a step may start at the moment of a pass. */
  List<Worker> startable(Step step, QueueRule queue, Outlook outlook) {
    if (queue.advice().isEmpty()) {
      return outlook.workers(queue);
    }
    List<Worker> workers = new ArrayList<>();
    for (Map.Entry<String, Step.Approval> entry : step.approvals.entrySet()) {
      if (!entry.getValue().approved()) {
        continue;
      }
      Optional<Worker> worker = fleet.find(entry.getKey());
      if (worker.isPresent()
          && outlook.usable(queue, worker.get())
          && startable(step, queue, worker.get(), outlook.nowMillis())) {
        workers.add(worker.get());
      }
    }
    return workers;
  }

  /** Tells whether a call about a step would be sent now. */
  boolean mayAsk(Step step, QueueRule queue) {
    return queue.advice().isPresent()
        && step.adviceCalls == 0
        && now() >= step.adviceNotBeforeMillis
        && ports.adviceDispatcher().accepts(queue.priority());
  }

  /** Tells whether a step may use a worker, though its ticket may have lapsed. */
  boolean approved(Step step, QueueRule queue, Worker worker) {
    Step.Approval approval = of(step, worker);
    return queue.advice().isEmpty() || (approval != null && approval.approved());
  }

  /** Returns what the advisor said of this life of a worker, or null. */
  Step.Approval of(Step step, Worker worker) {
    Step.Approval approval = step.approvals.get(worker.id());
    return approval == null || approval.life() != worker.life ? null : approval;
  }

  String ticket(Step step, Worker worker) {
    Step.Approval approval = step.approvals.get(worker.id());
    return approval == null ? "" : approval.code();
  }

  /** Asks about workers, unless such calls for the step are on their way. */
  void ask(Step step, QueueRule queue, List<Worker> workers) {
    if (step.adviceCalls > 0 || now() < step.adviceNotBeforeMillis) {
      return;
    }
    for (int from = 0; from < workers.size(); from += WORKERS_PER_CALL) {
      if (step.adviceCalls >= MOST_CALLS || !ports.adviceDispatcher().accepts(queue.priority())) {
        return;
      }
      int to = Math.min(workers.size(), from + WORKERS_PER_CALL);
      step.adviceCalls++;
      call(step, queue, workers.subList(from, to), false, () -> step.adviceCalls--);
    }
  }

  /**
   * Asks for the tickets of all workers of a plan in one question, so that they hold together.
   * Those that still hold are asked for too: they might lapse before the answer. Calls about
   * further workers do not hold it up.
   *
   * @param holdsRoom whether the gang holds the room meanwhile: the question does not wait for
   *     others
   * @return whether the question is on its way
   */
  boolean askForTickets(Step step, QueueRule queue, List<Worker> workers, boolean holdsRoom) {
    if (step.ticketCalls > 0 || now() < step.adviceNotBeforeMillis) {
      return false;
    }
    if (!holdsRoom && !ports.adviceDispatcher().accepts(queue.priority())) {
      return false;
    }
    for (int from = 0; from < workers.size(); from += MOST_WORKERS_PER_CALL) {
      int to = Math.min(workers.size(), from + MOST_WORKERS_PER_CALL);
      step.ticketCalls++;
      call(step, queue, workers.subList(from, to), holdsRoom, () -> step.ticketCalls--);
    }
    return true;
  }

  private void call(
      Step step, QueueRule queue, List<Worker> workers, boolean holdsRoom, Runnable answered) {
    List<String> ids = new ArrayList<>();
    Map<String, Long> lives = new HashMap<>();
    for (Worker worker : workers) {
      ids.add(worker.id());
      lives.put(worker.id(), worker.life);
    }
    long asked = now();
    var unused =
        ports
            .adviceDispatcher()
            .submit(
                new AdviceDispatcher.Request(
                    step.name,
                    ids,
                    queue.advice().orElseThrow(),
                    queue.priority(),
                    step.latestStartMillis,
                    holdsRoom,
                    () -> !cell.closed() && !step.job.state.ended() && step.anyWaiting()))
            .subscribe(
                reply -> {
                  answered.run();
                  advised(step, queue, lives, reply, asked);
                });
  }

  private void advised(
      Step step, QueueRule queue, Map<String, Long> lives, AdviceReply reply, long asked) {
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
    learn(step, queue, lives, reply);
    step.searchAgainMillis = 0;
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

  /** Only workers that are asked about for the first time say something about the queue. */
  private void learn(Step step, QueueRule queue, Map<String, Long> lives, AdviceReply reply) {
    long fresh = lives.keySet().stream().filter(id -> !step.approvals.containsKey(id)).count();
    if (fresh == lives.size() && fresh > 0) {
      double seen = (double) reply.tickets().size() / fresh;
      shares.merge(queue.name(), seen, (old, now) -> old + SHARE_WEIGHT * (now - old));
    }
  }

  private long now() {
    return ports.clock().millis();
  }
}
