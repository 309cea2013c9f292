package org.masticspread.cell.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.peer.AdviceReply;

/** Requests the advisor's approval of workers for steps, and keeps the tickets that it issues. */
final class Approvals {
  /** How long a ticket must still be valid, so that it is when the start arrives. */
  private static final Duration TICKET_MARGIN = Duration.ofMillis(60);

  /** Delay before advice is requested again after a call without an answer. */
  private static final Duration RETRY_DELAY = Duration.ofMillis(150);

  /**
   * Workers named in one approval call: a job's objective allows for one call on this many for each
   * step.
   */
  static final int WORKERS_PER_CALL = 30;

  /** The advisor accepts at most 100 workers in a call. */
  static final int MAX_WORKERS_PER_CALL = 100;

  /** Maximum number of concurrent approval calls for one step, each from another VM. */
  private static final int MAX_CALLS_PER_STEP = 6;

  /** Weight of a new answer in the moving average of approved shares: about ten answers count. */
  private static final double SHARE_EWMA_WEIGHT = 0.1;

  /** Lower bound of the learned share; below it, a step would ask about all workers. */
  private static final double MIN_SHARE = 0.05;

  /** Approved share assumed before the first answer for a queue. */
  private static final double INITIAL_SHARE = 0.3;

  private final CellPorts ports;
  private final Cell cell;
  private final Fleet fleet;
  private final Map<String, Double> approvedShares = new HashMap<>();

  Approvals(CellPorts ports, Cell cell, Fleet fleet) {
    this.ports = ports;
    this.fleet = fleet;
    this.cell = cell;
  }

  /** Returns the learned share of workers that the advisor approves for the steps of a queue. */
  double approvedShare(QueueRule queue) {
    return Math.max(MIN_SHARE, approvedShares.getOrDefault(queue.name(), INITIAL_SHARE));
  }

  /** Returns whether a step may start on a worker at the given time. */
  boolean mayStart(Step step, QueueRule queue, Worker worker, long atMillis) {
    if (queue.advice().isEmpty()) {
      return true;
    }
    Step.Approval approval = approvalOf(step, worker);
    return approval != null
        && approval.approved()
        && approval.validUntilMillis() > atMillis + TICKET_MARGIN.toMillis();
  }

  /** Returns the usable workers on which a step may start at the time of a pass. */
  List<Worker> startableWorkers(Step step, QueueRule queue, SchedulingPass pass) {
    if (queue.advice().isEmpty()) {
      return pass.usableWorkers(queue);
    }
    List<Worker> workers = new ArrayList<>();
    for (Map.Entry<String, Step.Approval> entry : step.approvals.entrySet()) {
      if (!entry.getValue().approved()) {
        continue;
      }
      Optional<Worker> worker = fleet.find(entry.getKey());
      if (worker.isPresent()
          && pass.usable(queue, worker.get())
          && mayStart(step, queue, worker.get(), pass.nowMillis())) {
        workers.add(worker.get());
      }
    }
    return workers;
  }

  /** Returns whether approvals for a step can be requested now. */
  boolean mayRequestApprovals(Step step, QueueRule queue) {
    return queue.advice().isPresent()
        && step.approvalCalls == 0
        && now() >= step.nextAdviceMillis
        && ports.adviceDispatcher().accepts(queue.priority());
  }

  /** Returns whether a worker is approved for a step, even if the ticket has expired. */
  boolean approved(Step step, QueueRule queue, Worker worker) {
    Step.Approval approval = approvalOf(step, worker);
    return queue.advice().isEmpty() || (approval != null && approval.approved());
  }

  /** Returns the advisor's answer about the current incarnation of a worker, or null. */
  Step.Approval approvalOf(Step step, Worker worker) {
    Step.Approval approval = step.approvals.get(worker.id());
    return approval == null || approval.incarnation() != worker.incarnation ? null : approval;
  }

  /** Returns the ticket of a worker for a step; empty if there is none. */
  String ticket(Step step, Worker worker) {
    Step.Approval approval = step.approvals.get(worker.id());
    return approval == null ? "" : approval.code();
  }

  /** Requests approval of workers, unless approval calls for the step are in flight. */
  void requestApprovals(Step step, QueueRule queue, List<Worker> workers) {
    if (step.approvalCalls > 0 || now() < step.nextAdviceMillis) {
      return;
    }
    for (int from = 0; from < workers.size(); from += WORKERS_PER_CALL) {
      if (step.approvalCalls >= MAX_CALLS_PER_STEP
          || !ports.adviceDispatcher().accepts(queue.priority())) {
        return;
      }
      int to = Math.min(workers.size(), from + WORKERS_PER_CALL);
      step.approvalCalls++;
      sendCall(step, queue, workers.subList(from, to), false, () -> step.approvalCalls--);
    }
  }

  /**
   * Requests tickets for all workers of a plan at once, so that they are valid together. Workers
   * whose tickets are still valid are included, since these might expire before the answer.
   * Approval calls in flight do not delay the request.
   *
   * @param holdsReservation whether the gang keeps the capacity reserved meanwhile; the request is
   *     then submitted whatever the dispatcher has pending
   * @return whether the request was submitted
   */
  boolean requestTickets(
      Step step, QueueRule queue, List<Worker> workers, boolean holdsReservation) {
    if (step.ticketCalls > 0 || now() < step.nextAdviceMillis) {
      return false;
    }
    if (!holdsReservation && !ports.adviceDispatcher().accepts(queue.priority())) {
      return false;
    }
    for (int from = 0; from < workers.size(); from += MAX_WORKERS_PER_CALL) {
      int to = Math.min(workers.size(), from + MAX_WORKERS_PER_CALL);
      step.ticketCalls++;
      sendCall(step, queue, workers.subList(from, to), holdsReservation, () -> step.ticketCalls--);
    }
    return true;
  }

  private void sendCall(
      Step step,
      QueueRule queue,
      List<Worker> workers,
      boolean holdsReservation,
      Runnable answered) {
    List<String> ids = new ArrayList<>();
    Map<String, Long> incarnations = new HashMap<>();
    for (Worker worker : workers) {
      ids.add(worker.id());
      incarnations.put(worker.id(), worker.incarnation);
    }
    long askedMillis = now();
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
                    holdsReservation,
                    () -> cell.leads() && !step.job.state.ended() && step.hasWaitingTasks()))
            .subscribe(
                reply -> {
                  answered.run();
                  handleReply(step, queue, incarnations, reply, askedMillis);
                });
  }

  private void handleReply(
      Step step,
      QueueRule queue,
      Map<String, Long> incarnations,
      AdviceReply reply,
      long askedMillis) {
    if (cell.closed()) {
      return;
    }
    ports.metrics().histogram("advice.ms").update(now() - askedMillis);
    ports
        .log()
        .event(
            "step-advice",
            step.name,
            "asked",
            incarnations.size(),
            "answered",
            reply.answered(),
            "approved",
            reply.tickets().size(),
            "tookMs",
            now() - askedMillis);
    if (!reply.answered()) {
      step.nextAdviceMillis = now() + RETRY_DELAY.toMillis();
      cell.requestPass();
      return;
    }
    updateApprovedShare(step, queue, incarnations, reply);
    step.nextSearchMillis = 0;
    long validUntilMillis = now() + reply.validityMillis();
    incarnations.forEach(
        (id, incarnation) -> step.approvals.put(id, new Step.Approval(incarnation, "", 0)));
    for (AdviceReply.Ticket ticket : reply.tickets()) {
      Long incarnation = incarnations.get(ticket.worker());
      if (incarnation != null) {
        step.approvals.put(
            ticket.worker(), new Step.Approval(incarnation, ticket.code(), validUntilMillis));
      }
    }
    cell.requestPass();
  }

  /** Learns only from calls whose workers are all asked about for the first time. */
  private void updateApprovedShare(
      Step step, QueueRule queue, Map<String, Long> incarnations, AdviceReply reply) {
    long firstAsked =
        incarnations.keySet().stream().filter(id -> !step.approvals.containsKey(id)).count();
    if (firstAsked == incarnations.size() && firstAsked > 0) {
      double observed = (double) reply.tickets().size() / firstAsked;
      approvedShares.merge(
          queue.name(), observed, (old, now) -> old + SHARE_EWMA_WEIGHT * (now - old));
    }
  }

  private long now() {
    return ports.clock().millis();
  }
}
