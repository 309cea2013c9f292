package org.masticspread.ctl.measure.request;

import java.util.ArrayList;
import java.util.List;
import org.masticspread.model.work.Urgency;

/**
 * The load of one run relative to the capacity, with or without a flood.
 *
 * @param name the name of the scenario
 * @param load the fraction of the capacity that arrivals use without a flood
 * @param deferrableFactor the factor by which the rate of flooding deferrable classes grows
 * @param urgentFactor the factor by which the rate of flooding urgent classes grows
 */
public record Scenario(String name, double load, double deferrableFactor, double urgentFactor) {
  private static final double LOAD = 0.67;
  private static final int TEAMS_PER_FLOOD = 8;

  /** The reference load without a flood. */
  static final Scenario NO_FLOOD = new Scenario("no-flood", LOAD, 1, 1);

  /** The load of the wait measure. */
  static final Scenario MIXED_SPEEDS = new Scenario("speeds-8x-load-85", 0.85, 1, 1);

  /**
   * Returns the scenarios of the flood measure, the one without a flood first.
   *
   * @return the scenarios
   */
  static List<Scenario> floods() {
    List<Scenario> floods = new ArrayList<>(List.of(NO_FLOOD));
    for (int rateFactor : new int[] {10, 50}) {
      floods.add(new Scenario("deferrable-flood-" + rateFactor + "x", LOAD, rateFactor, 1));
      floods.add(new Scenario("urgent-flood-" + rateFactor + "x", LOAD, 1, rateFactor));
      floods.add(new Scenario("both-flood-" + rateFactor + "x", LOAD, rateFactor, rateFactor));
    }
    return floods;
  }

  /** Returns whether the flood consists of arrivals of this stream. */
  boolean isFlooded(RequestStream stream) {
    return rateFactor(stream) > 1;
  }

  /**
   * Returns the factor by which the rate of a stream grows. Of each eight teams, the first floods
   * with deferrable work and the second with urgent work.
   */
  double rateFactor(RequestStream stream) {
    int place = stream.teamIndex() % TEAMS_PER_FLOOD;
    Urgency urgency = stream.workClass().urgency();
    if (place == 0 && urgency == Urgency.DEFERRABLE) {
      return deferrableFactor;
    }
    return place == 1 && urgency == Urgency.URGENT ? urgentFactor : 1;
  }
}
