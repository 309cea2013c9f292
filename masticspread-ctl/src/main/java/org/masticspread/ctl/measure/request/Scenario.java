package org.masticspread.ctl.measure.request;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.model.work.Urgency;

/**
 * The load of one run.
 *
 * @param name its name
 * @param load the part of the capacity that arrivals take without a flood
 * @param deferrableTimes how many times their rate flooding deferrable classes arrive
 * @param urgentTimes how many times their rate flooding urgent classes arrive
 */
public record Scenario(String name, double load, double deferrableTimes, double urgentTimes) {
  private static final double LOAD = 0.67;
  private static final int TEAMS_PER_FLOOD = 8;

  /** The load that floods are compared with. */
  static final Scenario NO_FLOOD = new Scenario("no-flood", LOAD, 1, 1);

  /** The load of the measure of waiting. */
  static final Scenario SPEEDS_APART = new Scenario("speeds-8x-load-85", 0.85, 1, 1);

  /**
   * Returns the loads of the flood measure, the one without a flood first.
   *
   * @return the scenarios
   */
  static List<Scenario> floods() {
    List<Scenario> floods = new ArrayList<>(List.of(NO_FLOOD));
    for (int times : new int[] {10, 50}) {
      floods.add(new Scenario("deferrable-flood-" + times + "x", LOAD, times, 1));
      floods.add(new Scenario("urgent-flood-" + times + "x", LOAD, 1, times));
      floods.add(new Scenario("both-flood-" + times + "x", LOAD, times, times));
    }
    return floods;
  }

  /** Tells whether the flood is made of this stream. */
  boolean isFlooded(RequestStream stream) {
    return times(stream) > 1;
  }

  /** Returns how many times its rate a stream arrives; one team in eight floods, by its place. */
  double times(RequestStream stream) {
    int place = stream.teamIndex() % TEAMS_PER_FLOOD;
    Urgency urgency = stream.workClass().urgency();
    if (place == 0 && urgency == Urgency.DEFERRABLE) {
      return deferrableTimes;
    }
    return place == 1 && urgency == Urgency.URGENT ? urgentTimes : 1;
  }
}
