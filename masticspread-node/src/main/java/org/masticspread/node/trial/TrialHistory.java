package org.masticspread.node.trial;

import java.time.Instant;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.platform.standin.EndpointFleet;
import org.masticspread.platform.standin.TaskRun;
import org.masticspread.platform.standin.VirtualTime;
import org.masticspread.platform.standin.WorkerFleet;
import org.masticspread.state.history.HistoryChecker;
import org.masticspread.state.history.HistoryEvent;

/**
 * History of a trial: the calls and codes seen by callers, combined with the runs recorded by
 * endpoints and workers.
 */
final class TrialHistory {
  private final VirtualTime time;
  private final List<HistoryEvent> events = new ArrayList<>();
  private final Map<RequestKey, Payload> bodies = new LinkedHashMap<>();
  private final Map<String, ResultCode> codes = new LinkedHashMap<>();
  private final Map<String, Instant> answeredAt = new LinkedHashMap<>();
  private final Map<String, JobSpec> accepted = new LinkedHashMap<>();
  private final Set<String> otherViolations = new LinkedHashSet<>();
  private int sendCount;

  TrialHistory(VirtualTime time) {
    this.time = time;
  }

  void submitted(JobSpec job) {
    events.add(
        new HistoryEvent.JobSubmitted(job.key(), job.tasks(), job.idempotent(), time.instant()));
  }

  /** Records that a request is sent and returns the id of the send. */
  String sent(RequestSpec request) {
    String send = "send-" + ++sendCount;
    bodies.put(request.key(), request.body());
    events.add(
        new HistoryEvent.RequestSent(request.key(), send, request.idempotent(), time.instant()));
    return send;
  }

  void answered(RequestSpec request, String send, Answer answer) {
    codes.put(send, answer.code());
    answeredAt.put(send, time.instant());
    events.add(
        new HistoryEvent.RequestAnswered(
            request.key(), send, answer.code(), answer.body(), time.instant()));
    if (!answer.key().equals(request.key())) {
      otherViolations.add(send + " got the answer of " + answer.key());
    }
  }

  void answered(JobSpec job, ResultCode code) {
    if (code == ResultCode.ACCEPTED || code == ResultCode.ALREADY_ACCEPTED) {
      accepted.put(job.key().toString(), job);
    }
    events.add(new HistoryEvent.JobAnswered(job.key(), code, time.instant()));
  }

  void add(HistoryEvent event) {
    events.add(event);
  }

  /** Adds a violation that was detected outside the checked history. */
  void addViolation(String text) {
    otherViolations.add(text);
  }

  List<JobSpec> accepted() {
    return List.copyOf(accepted.values());
  }

  ResultCode codeOf(String send) {
    return codes.get(send);
  }

  Instant answeredAt(String send) {
    return answeredAt.get(send);
  }

  /** Returns the number of sends that were answered with a code. */
  int count(ResultCode code) {
    return (int) codes.values().stream().filter(code::equals).count();
  }

  List<String> violations(WorkerFleet workers, EndpointFleet endpoints) {
    List<HistoryEvent> all = new ArrayList<>();
    endpoints
        .runs()
        .forEach(
            run -> {
              String body = bodies.getOrDefault(run.request(), Payload.EMPTY).asText();
              Payload answer = Payload.ofText(run.request() + " " + body);
              all.add(new HistoryEvent.RequestRan(run.request(), answer, run.started()));
            });
    workers.runs().stream().filter(r -> r.ended() != null).forEach(r -> all.add(stopped(r)));
    workers.runs().forEach(r -> all.add(started(r)));
    all.addAll(0, events.stream().filter(HistoryEvent.RequestSent.class::isInstance).toList());
    events.stream().filter(e -> !(e instanceof HistoryEvent.RequestSent)).forEach(all::add);
    List<String> violations = new ArrayList<>(otherViolations);
    HistoryChecker.check(all).forEach(v -> violations.add(v.toString()));
    return violations;
  }

  private static HistoryEvent started(TaskRun run) {
    return new HistoryEvent.TaskStarted(
        run.task().task(), run.task().attempt(), run.worker(), run.started());
  }

  private static HistoryEvent stopped(TaskRun run) {
    return new HistoryEvent.TaskStopped(
        run.task().task(), run.task().attempt(), run.worker(), run.ended());
  }
}
