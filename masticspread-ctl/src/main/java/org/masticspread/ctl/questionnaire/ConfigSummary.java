package org.masticspread.ctl.questionnaire;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.ctl.questionnaire.Answers.Place;
import org.masticspread.ctl.questionnaire.Answers.Work;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;

/** Describes the meaning of a generated configuration in plain sentences. */
final class ConfigSummary {
  private ConfigSummary() {}

  static List<String> of(Answers answers, ConfigFile config, PoolFacts facts, Configuration cell) {
    List<String> sentences = new ArrayList<>();
    TeamConfig team = config.teams().get(0);
    String changeNote = cell.team(team.name()).map(t -> changeNote(t, team)).orElse(" (new)");
    sentences.add(
        "Team "
            + team.name()
            + changeNote
            + " is served by pool "
            + team.pool()
            + " and always gets at least "
            + DisplayFormat.percent(team.floor())
            + " of it while it has work; what is spare is shared by weight.");
    for (int i = 0; i < answers.work().size(); i++) {
      addWork(sentences, answers.work().get(i), config.workClasses().get(i), team, facts);
    }
    return sentences;
  }

  private static String changeNote(TeamConfig before, TeamConfig team) {
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
    sentences.add(name + " " + serviceLevel(work));
    sentences.add(name + " " + retryBehaviour(work));
    sentences.add(
        name
            + " keeps at least "
            + DisplayFormat.percent(workClass.floor() * team.floor())
            + " of the pool in a flood"
            + reservedSlots(work, workClass, team, facts)
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

  private static String serviceLevel(Work work) {
    String within = DisplayFormat.time(work.within());
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

  private static String retryBehaviour(Work work) {
    return work.atMostOnce()
        ? "runs each piece at most once: it is never repeated after it may have run, and while the"
            + " store is out of reach a new one is refused with 'not run'."
        : "may be repeated after a fault, so that a lost run is made up for.";
  }

  private static String reservedSlots(
      Work work, WorkClassConfig workClass, TeamConfig team, PoolFacts facts) {
    if (work.place() != Place.EXECUTORS) {
      return "";
    }
    double slots = workClass.floor() * team.floor() * facts.slots();
    return ", which is " + DisplayFormat.number(slots) + " of its " + facts.slots() + " slots";
  }
}
