package org.masticspread.ctl.questionnaire;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.masticspread.ctl.questionnaire.Answers.Place;
import org.masticspread.ctl.questionnaire.Answers.Size;
import org.masticspread.ctl.questionnaire.Answers.Work;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.work.Urgency;

/**
 * An interview that asks one question at a time. After an invalid answer it repeats the question
 * with the reason; earlier answers are kept.
 *
 * <p>Not thread-safe. Example: {@code new Interview(source, Set.of(pool)).answers()}.
 */
public final class Interview {
  private static final Duration MAX_ANSWER_TIME = Duration.ofHours(1);
  private static final Duration MAX_WAIT = Duration.ofDays(366);
  private static final Duration MAX_RUN_TIME = Duration.ofDays(366);
  private static final int MAX_TASKS = 10_000;
  private static final int MAX_ACCELERATORS = 10_000;
  private static final String NONE = "none";
  private static final Map<String, Place> PLACES =
      Map.of("executors", Place.EXECUTORS, "workers", Place.WORKERS);
  private static final Map<String, Urgency> URGENCIES =
      Map.of("at-once", Urgency.URGENT, "soon", Urgency.NORMAL, "may-wait", Urgency.DEFERRABLE);

  private final AnswerSource source;
  private final Map<String, PoolId> pools = new HashMap<>();

  /**
   * Creates an interview.
   *
   * @param source the source of the answers
   * @param pools the pools to choose from; if empty, any valid name is accepted
   */
  public Interview(AnswerSource source, Set<PoolId> pools) {
    this.source = source;
    pools.forEach(p -> this.pools.put(p.value(), p));
  }

  /**
   * Asks all questions.
   *
   * @return the answers
   * @throws MasticspreadException if the source has no answer
   */
  public Answers answers() throws MasticspreadException {
    TeamId team = ask("team", "What is the team called?", Rule.name(TeamId::of));
    PoolId pool = ask("pool", "Which pool serves it?", poolRule());
    Double agreed = askAgreedPart();
    List<Work> work = new ArrayList<>();
    do {
      work.add(askWork("work[" + work.size() + "].", work));
    } while (ask("work[" + work.size() + "]", "Is there another kind of work?", Rule.YES_NO));
    return new Answers(team, pool, agreed, work);
  }

  private Rule<PoolId> poolRule() {
    return pools.isEmpty() ? Rule.name(PoolId::of) : new Rule<>("one of " + names(), pools::get);
  }

  private String names() {
    return String.join(", ", pools.keySet().stream().sorted().toList());
  }

  private Double askAgreedPart() throws MasticspreadException {
    Rule<Double> rule =
        new Rule<>(
            Rule.PART.allowed() + ", or " + NONE,
            text -> text.equals(NONE) ? Double.valueOf(-1) : Rule.PART.parse().apply(text));
    double part =
        ask("agreedPart", "Which part of the pool was agreed for the team, if any?", rule);
    return part < 0 ? null : part;
  }

  private Work askWork(String prefix, List<Work> before) throws MasticspreadException {
    WorkClassId name = ask(prefix + "name", "What is this kind of work called?", newName(before));
    Place place =
        ask(
            prefix + "runsOn",
            "Does " + name + " run as requests on the executors or as jobs on the workers?",
            Rule.choice(PLACES));
    Urgency urgency =
        ask(
            prefix + "urgency",
            "Must " + name + " be served at once, soon, or may it wait?",
            Rule.choice(URGENCIES));
    Duration within = askWithin(prefix, name, place, urgency);
    boolean atMostOnce =
        ask(
            prefix + "atMostOnce",
            "Would it do harm if a piece of " + name + " ran twice?",
            Rule.YES_NO);
    Size size = place == Place.EXECUTORS ? askRequestSize(prefix) : askJobSize(prefix);
    Duration takes =
        ask(prefix + "takes", "How long does one take to run?", Rule.time(MAX_RUN_TIME));
    double rate =
        ask(prefix + "rate", "How many arrive at the peak, and per what?", Rule.RATE_PER_SECOND);
    double floodPart =
        ask(
            prefix + "keepInFlood",
            "Which part of " + name + " must keep running while other work floods in?",
            Rule.PART);
    return new Work(name, place, urgency, within, atMostOnce, size, takes, rate, floodPart);
  }

  private static Rule<WorkClassId> newName(List<Work> before) {
    return Rule.name(WorkClassId::of)
        .and(
            name -> before.stream().noneMatch(w -> w.name().equals(name)),
            "not the name of another kind of work");
  }

  private Duration askWithin(String prefix, WorkClassId name, Place place, Urgency urgency)
      throws MasticspreadException {
    if (urgency == Urgency.DEFERRABLE) {
      String text = "How long may " + name + " wait at most, until it is done?";
      return ask(prefix + "waitUntil", text, Rule.time(MAX_WAIT));
    }
    String done = place == Place.EXECUTORS ? "be answered?" : "have started?";
    String text = "Within how long must " + name + " " + done;
    return ask(prefix + "answerWithin", text, Rule.time(MAX_ANSWER_TIME));
  }

  private Size askRequestSize(String prefix) throws MasticspreadException {
    String text = "How large is the largest request?";
    return Size.ofRequest(ask(prefix + "largestBody", text, Rule.MEMORY).bytes());
  }

  private Size askJobSize(String prefix) throws MasticspreadException {
    long millicores = ask(prefix + "cores", "How many cores does one task need?", Rule.MILLICORES);
    long memory =
        ask(prefix + "memory", "How much memory does one task need?", Rule.MEMORY).bytes();
    int accelerators =
        ask(
            prefix + "accelerators",
            "How many accelerators does one task need?",
            Rule.wholeNumber(0, MAX_ACCELERATORS));
    int tasks =
        ask(
            prefix + "tasks",
            "How many tasks has one job at most?",
            Rule.wholeNumber(1, MAX_TASKS));
    boolean together =
        tasks > 1
            && ask(
                prefix + "together",
                "Must all tasks of a job start together or not at all?",
                Rule.YES_NO);
    ResourceVector perTask = new ResourceVector(millicores, memory, accelerators);
    return new Size(0, perTask, tasks, together);
  }

  private <T> T ask(String field, String text, Rule<T> rule) throws MasticspreadException {
    String rejection = "";
    while (true) {
      Question question = new Question(field, text, rule.allowed(), rejection);
      try {
        return rule.read(source.next(question).strip());
      } catch (IllegalArgumentException e) {
        rejection = e.getMessage();
      }
    }
  }
}
