package org.masticspread.cell.policy;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.masticspread.model.cell.StepSpec;

/**
 * A plan that states when and where all tasks of a gang start together.
 *
 * <p>Gangs may need a third of all cores on few approved workers. Instead of waiting until enough
 * workers happen to be free at the same time, a gang gets the workers on which it ends earliest,
 * and their capacity is reserved for it from then on.
 *
 * @param startMillis the planned start, on the cell's clock
 * @param endMillis the expected end, on the cell's clock
 * @param placements the worker of each task
 */
public record GangPlan(long startMillis, long endMillis, List<Forecast> placements) {
  /**
   * Minimum speed, relative to the fastest worker, at which a worker does not delay a gang
   * noticeably.
   */
  public static final double SIMILAR_SPEED_RATIO = 0.75;

  /**
   * Number of low bits that hold the worker index. The bits above hold the release time, so that
   * sorting primitive longs orders the releases.
   */
  private static final int INDEX_BITS = 20;

  private static final long INDEX_MASK = (1L << INDEX_BITS) - 1;

  /** Copies the list. */
  public GangPlan {
    placements = List.copyOf(placements);
  }

  /**
   * The gang to plan for.
   *
   * @param step the step
   * @param name the full name of the step
   * @param runMillis the expected run time of a task on a worker of speed 1
   * @param crossRackSlowdown factor by which a gang that spans several racks takes longer
   */
  public record Gang(StepSpec step, String name, double runMillis, double crossRackSlowdown) {}

  /**
   * Finds the plan with the earliest end.
   *
   * @param gang the gang
   * @param forecasts the workers that the gang may use
   * @param nowMillis the current time, on the cell's clock
   * @return the plan; empty if these workers never have capacity for all tasks at once
   */
  public static Optional<GangPlan> find(Gang gang, List<Forecast> forecasts, long nowMillis) {
    return earliestEnding(candidates(gang, forecasts, nowMillis));
  }

  /**
   * Finds the plan with the earliest end among those that start now.
   *
   * @param gang the gang
   * @param forecasts the workers that the gang may use
   * @param nowMillis the current time, on the cell's clock
   * @return the plan; empty if these workers do not have capacity for all tasks now
   */
  public static Optional<GangPlan> findNow(Gang gang, List<Forecast> forecasts, long nowMillis) {
    return earliestEnding(
        candidates(gang, forecasts, nowMillis).stream()
            .filter(plan -> plan.startMillis <= nowMillis)
            .toList());
  }

  private static Optional<GangPlan> earliestEnding(List<GangPlan> plans) {
    return plans.stream().min(Comparator.comparingLong(GangPlan::endMillis));
  }

  private static List<GangPlan> candidates(Gang gang, List<Forecast> forecasts, long nowMillis) {
    double fastest = forecasts.stream().mapToDouble(Forecast::speed).max().orElse(1);
    List<Forecast> similarSpeed =
        forecasts.stream().filter(f -> f.speed() >= SIMILAR_SPEED_RATIO * fastest).toList();
    List<GangPlan> plans = new ArrayList<>();
    double slowdown = gang.step.sameRack() ? gang.crossRackSlowdown : 1;
    planOn(similarSpeed, gang, slowdown, nowMillis).ifPresent(plans::add);
    if (similarSpeed.size() < forecasts.size()) {
      planOn(forecasts, gang, slowdown, nowMillis).ifPresent(plans::add);
    }
    if (gang.step.sameRack()) {
      Map<String, List<Forecast>> racks =
          forecasts.stream()
              .collect(
                  Collectors.groupingBy(f -> f.worker().rack(), TreeMap::new, Collectors.toList()));
      racks.values().forEach(rack -> planOn(rack, gang, 1, nowMillis).ifPresent(plans::add));
    }
    return plans;
  }

  private static Optional<GangPlan> planOn(
      List<Forecast> forecasts, Gang gang, double slowdown, long nowMillis) {
    int required = gang.step.tasks();
    int[] slots = new int[forecasts.size()];
    int available = 0;
    for (int i = 0; i < slots.length; i++) {
      slots[i] = forecasts.get(i).slotsAt(gang.step, gang.name, nowMillis);
      available += slots[i];
    }
    long start = nowMillis;
    if (available < required) {
      long[] releaseTimes = releaseTimes(forecasts, nowMillis);
      for (int next = 0; next < releaseTimes.length && available < required; next++) {
        int index = (int) (releaseTimes[next] & INDEX_MASK);
        start = nowMillis + (releaseTimes[next] >> INDEX_BITS);
        int newSlots = forecasts.get(index).slotsAt(gang.step, gang.name, start);
        available += newSlots - slots[index];
        slots[index] = newSlots;
      }
    }
    return available < required
        ? Optional.empty()
        : Optional.of(assign(forecasts, slots, gang, slowdown, start));
  }

  /** Returns the sorted release times: each value holds the ms from now and the worker index. */
  private static long[] releaseTimes(List<Forecast> forecasts, long nowMillis) {
    int count = 0;
    for (Forecast forecast : forecasts) {
      count += forecast.releases().size();
    }
    long[] releaseTimes = new long[count];
    for (int index = 0; index < forecasts.size(); index++) {
      for (Forecast.Release release : forecasts.get(index).releases()) {
        long delay = Math.max(0, release.atMillis() - nowMillis);
        releaseTimes[--count] = delay << INDEX_BITS | index;
      }
    }
    Arrays.sort(releaseTimes);
    return releaseTimes;
  }

  /**
   * Assigns tasks to fast workers first and, among workers of similar speed, to those with the
   * fewest free slots, so that other workers stay empty.
   */
  private static GangPlan assign(
      List<Forecast> forecasts, int[] slots, Gang gang, double slowdown, long start) {
    List<Integer> order = new ArrayList<>();
    for (int i = 0; i < slots.length; i++) {
      if (slots[i] > 0) {
        order.add(i);
      }
    }
    order.sort(
        Comparator.<Integer, Boolean>comparing(i -> forecasts.get(i).worker().awaitedByGang())
            .thenComparingDouble(i -> -Math.rint(4 * forecasts.get(i).speed()))
            .thenComparingInt(i -> slots[i]));
    List<Forecast> placements = new ArrayList<>();
    double slowest = Double.MAX_VALUE;
    for (int i : order) {
      for (int n = 0; n < slots[i] && placements.size() < gang.step.tasks(); n++) {
        placements.add(forecasts.get(i));
        slowest = Math.min(slowest, forecasts.get(i).speed());
      }
    }
    long end = start + (long) (gang.runMillis * slowdown / slowest);
    return new GangPlan(start, end, placements);
  }

  /**
   * Returns the expected run time of the gang.
   *
   * @return the time in ms
   */
  public long runMillis() {
    return endMillis - startMillis;
  }

  /** Reserves the capacity of the plan on its workers. */
  public void reserve(StepSpec step) {
    Map<Forecast, Integer> tasks = new LinkedHashMap<>();
    placements.forEach(worker -> tasks.merge(worker, 1, Integer::sum));
    tasks.forEach((worker, count) -> worker.reserve(step.booked(), count, startMillis, endMillis));
  }

  /**
   * Returns the distinct workers of the plan.
   *
   * @return each worker once
   */
  public List<CandidateWorker> workers() {
    return placements.stream().map(Forecast::worker).distinct().toList();
  }
}
