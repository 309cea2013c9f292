package org.masticspread.state.history;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.result.RunState;
import org.masticspread.state.history.HistoryEvent.RequestAnswered;
import org.masticspread.state.history.HistoryEvent.RequestRan;
import org.masticspread.state.history.HistoryEvent.RequestSent;
import org.masticspread.state.history.Violation.Guarantee;

/**
 * Checks the guarantees for requests: a non-idempotent request runs at most once, a request
 * reported as not run did not run, and each sending gets at most one complete answer to its own
 * request.
 */
final class RequestRules {
  /** The events observed for one request, in their order. */
  private static final class ObservedRequest {
    private final List<RequestSent> sends = new ArrayList<>();
    private final List<RequestRan> runs = new ArrayList<>();
    private final List<RequestAnswered> answers = new ArrayList<>();
  }

  private final Map<RequestKey, ObservedRequest> requests = new LinkedHashMap<>();

  void add(HistoryEvent event) {
    if (event instanceof RequestSent sent) {
      observed(sent.request()).sends.add(sent);
    } else if (event instanceof RequestRan ran) {
      observed(ran.request()).runs.add(ran);
    } else if (event instanceof RequestAnswered answered) {
      observed(answered.request()).answers.add(answered);
    }
  }

  private ObservedRequest observed(RequestKey request) {
    return requests.computeIfAbsent(request, key -> new ObservedRequest());
  }

  List<Violation> violations() {
    List<Violation> violations = new ArrayList<>();
    requests.forEach(
        (request, events) -> {
          checkRuns(request, events, violations);
          checkNotRun(request, events, violations);
          checkAnswers(request, events, violations);
        });
    return violations;
  }

  private static void checkRuns(
      RequestKey request, ObservedRequest events, List<Violation> violations) {
    boolean idempotent = events.sends.stream().allMatch(RequestSent::idempotent);
    if (!idempotent && events.runs.size() > 1) {
      report(
          violations, Guarantee.RAN_AT_MOST_ONCE, request, "ran " + events.runs.size() + " times");
    }
  }

  /**
   * Checks that each run is preceded by a sending that was not answered with a code whose run state
   * is NOT_RUN.
   */
  private static void checkNotRun(
      RequestKey request, ObservedRequest events, List<Violation> violations) {
    for (RequestRan run : events.runs) {
      boolean explained =
          events.sends.stream()
              .anyMatch(send -> !send.at().isAfter(run.at()) && mayHaveRun(send, events));
      if (!explained) {
        report(
            violations,
            Guarantee.NOT_RUN_IS_TRUE,
            request,
            "ran without a matching sending at " + run.at());
      }
    }
  }

  private static boolean mayHaveRun(RequestSent send, ObservedRequest events) {
    return events.answers.stream()
        .filter(answer -> answer.send().equals(send.send()))
        .noneMatch(answer -> answer.code().runState() == RunState.NOT_RUN);
  }

  private static void checkAnswers(
      RequestKey request, ObservedRequest events, List<Violation> violations) {
    Map<String, Integer> answersBySend = new LinkedHashMap<>();
    for (RequestAnswered answer : events.answers) {
      int count = answersBySend.merge(answer.send(), 1, Integer::sum);
      if (count == 2) {
        report(violations, Guarantee.WHOLE_ANSWER, request, answer.send() + " was answered twice");
      }
      if (events.sends.stream().noneMatch(send -> send.send().equals(answer.send()))) {
        report(violations, Guarantee.WHOLE_ANSWER, request, answer.send() + " was never sent");
      }
      boolean own =
          answer.code() != ResultCode.OK
              || events.runs.stream().anyMatch(run -> run.answer().equals(answer.body()));
      if (!own) {
        String detail = answer.send() + " got an answer that no endpoint gave to this request";
        report(violations, Guarantee.WHOLE_ANSWER, request, detail);
      }
    }
  }

  private static void report(
      List<Violation> violations, Guarantee guarantee, RequestKey request, String detail) {
    violations.add(new Violation(guarantee, request.toString(), detail));
  }
}
