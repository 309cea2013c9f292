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
import org.masticspread.state.history.Violation.Promise;

/** The promises about requests: at most once, a true "not run", one whole answer. */
final class RequestRules {
  /** What was seen of one request, in order. */
  private static final class Seen {
    private final List<RequestSent> sends = new ArrayList<>();
    private final List<RequestRan> runs = new ArrayList<>();
    private final List<RequestAnswered> answers = new ArrayList<>();
  }

  private final Map<RequestKey, Seen> seen = new LinkedHashMap<>();

  void add(HistoryEvent event) {
    if (event instanceof RequestSent sent) {
      of(sent.request()).sends.add(sent);
    } else if (event instanceof RequestRan ran) {
      of(ran.request()).runs.add(ran);
    } else if (event instanceof RequestAnswered answered) {
      of(answered.request()).answers.add(answered);
    }
  }

  private Seen of(RequestKey request) {
    return seen.computeIfAbsent(request, key -> new Seen());
  }

  List<Violation> violations() {
    List<Violation> violations = new ArrayList<>();
    seen.forEach(
        (request, events) -> {
          checkRuns(request, events, violations);
          checkNotRun(request, events, violations);
          checkAnswers(request, events, violations);
        });
    return violations;
  }

  private static void checkRuns(RequestKey request, Seen events, List<Violation> violations) {
    boolean idempotent = events.sends.stream().allMatch(RequestSent::idempotent);
    if (!idempotent && events.runs.size() > 1) {
      report(violations, Promise.RAN_AT_MOST_ONCE, request, "ran " + events.runs.size() + " times");
    }
  }

  /** Each run needs a sending before it that was not told "not run". */
  private static void checkNotRun(RequestKey request, Seen events, List<Violation> violations) {
    for (RequestRan run : events.runs) {
      boolean explained =
          events.sends.stream()
              .anyMatch(send -> !send.at().isAfter(run.at()) && mayHaveRun(send, events));
      if (!explained) {
        report(violations, Promise.NOT_RUN_IS_TRUE, request, "ran at " + run.at());
      }
    }
  }

  private static boolean mayHaveRun(RequestSent send, Seen events) {
    return events.answers.stream()
        .filter(answer -> answer.send().equals(send.send()))
        .noneMatch(answer -> answer.code().runState() == RunState.NOT_RUN);
  }

  private static void checkAnswers(RequestKey request, Seen events, List<Violation> violations) {
    Map<String, Integer> answersBySend = new LinkedHashMap<>();
    for (RequestAnswered answer : events.answers) {
      int count = answersBySend.merge(answer.send(), 1, Integer::sum);
      if (count == 2) {
        report(violations, Promise.WHOLE_ANSWER, request, answer.send() + " was answered twice");
      }
      if (events.sends.stream().noneMatch(send -> send.send().equals(answer.send()))) {
        report(violations, Promise.WHOLE_ANSWER, request, answer.send() + " was never sent");
      }
      boolean own =
          answer.code() != ResultCode.OK
              || events.runs.stream().anyMatch(run -> run.answer().equals(answer.body()));
      if (!own) {
        String detail = answer.send() + " got an answer that no endpoint gave to it";
        report(violations, Promise.WHOLE_ANSWER, request, detail);
      }
    }
  }

  private static void report(
      List<Violation> violations, Promise promise, RequestKey request, String detail) {
    violations.add(new Violation(promise, request.toString(), detail));
  }
}
