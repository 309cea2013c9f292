package org.masticspread.ctl.questionnaire;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.ctl.questionnaire.Answers.Place;
import org.masticspread.ctl.questionnaire.Answers.Work;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;

/** Says in plain words what a generated configuration means. */
final class Sentences {
  private Sentences() {}

  static List<String> of(Answers answers, ConfigFile config, PoolFacts facts, Configuration cell) {
    List<String> sentences = new ArrayList<>();
    TeamConfig team = config.teams().get(0);
    String known = cell.team(team.name()).map(t -> known(t, team)).orElse(" (new)");
    sentences.add(
        "Team "
            + team.name()
            + known
            + " is served by pool "
            + team.pool()
            + " and always gets at least "
            + Plain.percent(team.floor())
            + " of it while it has work; what is spare is shared by weight.");
    for (int i = 0; i < answers.work().size(); i++) {
      addWork(sentences, answers.work().get(i), config.workClasses().get(i), team, facts);
    }
    return sentences;
  }

  private static String known(TeamConfig before, TeamConfig team) {
    return before.pool().equals(team.pool())
        ? " (changed)"
        : " (moved from pool " + before.pool() + ")";
  }

  private static void addWork(
      List<String> sentences,
      Work work,
      WorkClassConfig workClass,
      TeamConfig team,
      PoolFacts facts) {
    String name = work.name().value();
    sentences.add(name + " " + promise(work));
    sentences.add(name + " " + repetition(work));
    sentences.add(
        name
            + " keeps at least "
            + Plain.percent(workClass.floor() * team.floor())
            + " of the pool in a flood"
            + held(work, workClass, team, facts)
            + ".");
    if (work.place() == Place.EXECUTORS) {
      sentences.add(
          name
              + " lets at most "
              + workClass.queueLimit()
              + " requests wait; more are refused"
              + " at once with 'not run' and a time to retry after.");
    }
  }

  private static String promise(Work work) {
    String within = Plain.time(work.within());
    if (work.place() == Place.EXECUTORS) {
      return switch (work.urgency()) {
        case URGENT -> "is answered at once, within " + within + ", before all other work.";
        case NORMAL -> "is answered within " + within + ", when nothing urgent waits.";
        case DEFERRABLE -> "may wait; it is answered within " + within + ".";
      };
    }
    return switch (work.urgency()) {
      case URGENT -> "starts at once, within " + within + "; deferrable work makes room for it.";
      case NORMAL -> "starts within " + within + ", when nothing urgent waits.";
      case DEFERRABLE ->
          "may wait; give each job a deadline of "
              + within
              + " after it is handed in, and it is"
              + " lifted in time to be done before.";
    };
  }

  private static String repetition(Work work) {
    return work.atMostOnce()
        ? "runs each piece at most once: it is never repeated after it may have run, and while the"
            + " store is out of reach a new one is refused with 'not run'."
        : "may be repeated after a fault, so that a lost run is made up for.";
  }

  private static String held(
      Work work, WorkClassConfig workClass, TeamConfig team, PoolFacts facts) {
    if (work.place() != Place.EXECUTORS) {
      return "";
    }
    double slots = workClass.floor() * team.floor() * facts.slots();
    return ", which is " + Plain.number(slots) + " of its " + facts.slots() + " slots";
  }
}
