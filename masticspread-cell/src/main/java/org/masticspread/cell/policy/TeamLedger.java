package org.masticspread.cell.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Function;
import org.masticspread.model.resource.ResourceVector;

/**
 * Decides whether a team may start further tasks: a start must not bring what the team has running
 * above its cap.
 *
 * <p>It addresses teams that submit more than their caps let them run, also at a takeover: all that
 * may run counts, from its booking until it is certainly over, and an upper bound of what former
 * leaders may have left running unseen.
 *
 * <pre>{@code
 * TeamLedger ledger = new TeamLedger(team -> caps.get(team));
 * if (ledger.mayStart("team", demand, 1)) {
 *   ledger.booked("team", demand);
 * }
 * }</pre>
 */
public final class TeamLedger {
  /** The number of tasks that may start where there is no limit. */
  public static final int UNLIMITED = Integer.MAX_VALUE;

  private static final int PERMILLE = 1000;

  private final Function<String, ResourceVector> caps;
  private final Map<String, ResourceVector> booked = new HashMap<>();
  private final Map<String, ResourceVector> reserved = new HashMap<>();
  private Map<String, ResourceVector> unseen = Map.of();

  /**
   * Creates a ledger without runs.
   *
   * @param caps returns the cap of a team; 0 means that a resource is not limited
   */
  public TeamLedger(Function<String, ResourceVector> caps) {
    this.caps = caps;
  }

  /**
   * Adds a run, which counts until it is released.
   *
   * @param team the team
   * @param demand the demand of the run
   */
  public void booked(String team, ResourceVector demand) {
    booked.merge(team, demand, TeamLedger::sum);
  }

  /**
   * Removes a run that is certainly over.
   *
   * @param team the team
   * @param demand the demand with which it was booked
   */
  public void released(String team, ResourceVector demand) {
    ResourceVector rest = booked.getOrDefault(team, ResourceVector.ZERO).minus(demand);
    if (rest.equals(ResourceVector.ZERO)) {
      booked.remove(team);
    } else {
      booked.put(team, rest);
    }
  }

  /**
   * Replaces the upper bounds of what former leaders may have left running unseen.
   *
   * @param bounds the bounds by team; empty once everything that may run is booked
   */
  public void inherit(Map<String, ResourceVector> bounds) {
    unseen = Map.copyOf(bounds);
  }

  /**
   * Keeps room for a gang, which then counts like running tasks.
   *
   * @param team the team
   * @param demand the demand of each task
   * @param tasks the number of tasks
   */
  public void reserve(String team, ResourceVector demand, int tasks) {
    reserved.merge(team, product(demand, tasks), TeamLedger::sum);
  }

  /** Gives up all reservations. */
  public void clearReservations() {
    reserved.clear();
  }

  /**
   * Returns whether tasks may start at one moment.
   *
   * @param team the team
   * @param demand the demand of each task
   * @param tasks the number of tasks
   * @return whether all of them fit under the cap beside all that may run
   */
  public boolean mayStart(String team, ResourceVector demand, int tasks) {
    return fitting(team, demand, running(team)) >= tasks;
  }

  /**
   * Returns how many tasks may start beside all that may run and all reservations.
   *
   * @param team the team
   * @param demand the demand of each task
   * @return the number of tasks, or {@link #UNLIMITED}
   */
  public int startable(String team, ResourceVector demand) {
    ResourceVector used = running(team);
    return fitting(team, demand, sum(used, reserved.getOrDefault(team, ResourceVector.ZERO)));
  }

  /**
   * Returns whether tasks could start at one moment if the team had nothing running.
   *
   * @param team the team
   * @param demand the demand of each task
   * @param tasks the number of tasks
   * @return whether they fit under the cap
   */
  public boolean fitsCap(String team, ResourceVector demand, int tasks) {
    return fitting(team, demand, ResourceVector.ZERO) >= tasks;
  }

  /**
   * Returns all that a team may have running.
   *
   * @param team the team
   * @return the sum of its runs and of the bound of what is unseen
   */
  public ResourceVector running(String team) {
    return sum(knownRuns(team), unseen.getOrDefault(team, ResourceVector.ZERO));
  }

  /**
   * Returns the runs of a team that are known.
   *
   * @param team the team
   * @return the sum of its runs that are booked and not released
   */
  public ResourceVector knownRuns(String team) {
    return booked.getOrDefault(team, ResourceVector.ZERO);
  }

  /**
   * Returns the part of its cap that a team uses, of the resource that is used most.
   *
   * @param team the team
   * @return thousandths; 0 if nothing is limited
   */
  public int usedPermille(String team) {
    ResourceVector cap = caps.apply(team);
    ResourceVector used = running(team);
    double share = share(used.millicores(), cap.millicores());
    share = Math.max(share, share(used.memoryBytes(), cap.memoryBytes()));
    share = Math.max(share, share(used.accelerators(), cap.accelerators()));
    return (int) (PERMILLE * share);
  }

  private static double share(long used, long cap) {
    return cap == 0 ? 0 : (double) used / cap;
  }

  private int fitting(String team, ResourceVector demand, ResourceVector used) {
    ResourceVector cap = caps.apply(team);
    long tasks = fitting(cap.millicores(), used.millicores(), demand.millicores());
    tasks = Math.min(tasks, fitting(cap.memoryBytes(), used.memoryBytes(), demand.memoryBytes()));
    tasks =
        Math.min(tasks, fitting(cap.accelerators(), used.accelerators(), demand.accelerators()));
    return (int) Math.min(UNLIMITED, tasks);
  }

  private static long fitting(long cap, long used, long demand) {
    if (cap == 0 || demand == 0) {
      return UNLIMITED;
    }
    return Math.max(0, cap - used) / demand;
  }

  /**
   * Adds two vectors. Sums beyond the range of a number count as its maximum, since bounds add up
   * what callers declared.
   *
   * @param one a vector
   * @param other another vector
   * @return the sum
   */
  public static ResourceVector sum(ResourceVector one, ResourceVector other) {
    return new ResourceVector(
        sum(one.millicores(), other.millicores()),
        sum(one.memoryBytes(), other.memoryBytes()),
        (int) Math.min(Integer.MAX_VALUE, (long) one.accelerators() + other.accelerators()));
  }

  private static long sum(long one, long other) {
    return one > Long.MAX_VALUE - other ? Long.MAX_VALUE : one + other;
  }

  /**
   * Multiplies a vector. Products beyond the range of a number count as its maximum.
   *
   * @param demand the vector
   * @param tasks the factor, not negative
   * @return the product
   */
  public static ResourceVector product(ResourceVector demand, int tasks) {
    return new ResourceVector(
        product(demand.millicores(), tasks),
        product(demand.memoryBytes(), tasks),
        (int) Math.min(Integer.MAX_VALUE, (long) demand.accelerators() * tasks));
  }

  private static long product(long amount, int tasks) {
    return tasks > 0 && amount > Long.MAX_VALUE / tasks ? Long.MAX_VALUE : amount * tasks;
  }
}
