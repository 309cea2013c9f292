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
 * When and where all tasks of a gang can start together.
 *
 * <p>Answers the days on which gangs need a third of all cores on few approved workers: instead of
 * waiting for a moment at which enough workers happen to be free, a gang is given the workers on
 * which it ends first, and their room is kept for it from then on.
 *
 * @param startMillis when it can start, on the cell's clock
 * @param endMillis when it is expected to end
 * @param placements a worker for each task
 */
public record GangPlan(long startMillis, long endMillis, List<Forecast> placements) {
  /** Workers this much slower than the fastest hold up a gang noticeably. */
  public static final double SIMILAR_SPEED_RATIO = 0.75;

  /** A moment and the place of its worker share a number, which sorts fast. */
  private static final int PLACE_BITS = 20;

  private static final long PLACE_MASK = (1L << PLACE_BITS) - 1;

  /** Copies the list. */
  public GangPlan {
    placements = List.copyOf(placements);
  }

  /**
   * What a plan is made for.
   *
   * @param step the step
   * @param name its full name
   * @param runMillis how long a task is expected to run on a worker of speed 1
   * @param farSlowdown how many times longer a gang takes that is spread over racks
   */
  public record Gang(StepSpec step, String name, double runMillis, double farSlowdown) {}

  /**
   * Finds the plan by which a gang ends first.
   *
   * @param gang the gang
   * @param forecasts the workers that it may use
   * @param nowMillis the moment, on the cell's clock
   * @return the plan, or empty if these workers never have room for all
   */
  public static Optional<GangPlan> find(Gang gang, List<Forecast> forecasts, long nowMillis) {
    return first(candidates(gang, forecasts, nowMillis));
  }

  /**
   * Finds the plan by which a gang ends first if it starts now.
   *
   * @param gang the gang
   * @param forecasts the workers that it may use
   * @param nowMillis the moment, on the cell's clock
   * @return the plan, or empty if these workers have no room for all now
   */
  public static Optional<GangPlan> findNow(Gang gang, List<Forecast> forecasts, long nowMillis) {
    return first(
        candidates(gang, forecasts, nowMillis).stream()
            .filter(plan -> plan.startMillis <= nowMillis)
            .toList());
  }

  private static Optional<GangPlan> first(List<GangPlan> plans) {
    return plans.stream().min(Comparator.comparingLong(GangPlan::endMillis));
  }

  private static List<GangPlan> candidates(Gang gang, List<Forecast> forecasts, long nowMillis) {
    double fastest = forecasts.stream().mapToDouble(Forecast::speed).max().orElse(1);
    List<Forecast> fast =
        forecasts.stream().filter(f -> f.speed() >= SIMILAR_SPEED_RATIO * fastest).toList();
    List<GangPlan> plans = new ArrayList<>();
    double spread = gang.step.sameRack() ? gang.farSlowdown : 1;
    among(fast, gang, spread, nowMillis).ifPresent(plans::add);
    if (fast.size() < forecasts.size()) {
      among(forecasts, gang, spread, nowMillis).ifPresent(plans::add);
    }
    if (gang.step.sameRack()) {
      Map<String, List<Forecast>> racks =
          forecasts.stream()
              .collect(
                  Collectors.groupingBy(f -> f.worker().rack(), TreeMap::new, Collectors.toList()));
      racks.values().forEach(rack -> among(rack, gang, 1, nowMillis).ifPresent(plans::add));
    }
    return plans;
  }

  private static Optional<GangPlan> among(
      List<Forecast> forecasts, Gang gang, double spread, long nowMillis) {
    int wanted = gang.step.tasks();
    int[] slots = new int[forecasts.size()];
    int found = 0;
    for (int i = 0; i < slots.length; i++) {
      slots[i] = forecasts.get(i).slotsAt(gang.step, gang.name, nowMillis);
      found += slots[i];
    }
    long start = nowMillis;
    if (found < wanted) {
      long[] moments = moments(forecasts, nowMillis);
      for (int next = 0; next < moments.length && found < wanted; next++) {
        int place = (int) (moments[next] & PLACE_MASK);
        start = nowMillis + (moments[next] >> PLACE_BITS);
        int more = forecasts.get(place).slotsAt(gang.step, gang.name, start);
        found += more - slots[place];
        slots[place] = more;
      }
    }
    return found < wanted
        ? Optional.empty()
        : Optional.of(fill(forecasts, slots, gang, spread, start));
  }

  /** Returns when which worker gets room, in order: ms from now, and its place in the list. */
  private static long[] moments(List<Forecast> forecasts, long nowMillis) {
    int count = 0;
    for (Forecast forecast : forecasts) {
      count += forecast.releases().size();
    }
    long[] moments = new long[count];
    for (int place = 0; place < forecasts.size(); place++) {
      for (Forecast.Release release : forecasts.get(place).releases()) {
        long wait = Math.max(0, release.atMillis() - nowMillis);
        moments[--count] = wait << PLACE_BITS | place;
      }
    }
    Arrays.sort(moments);
    return moments;
  }

  /**
   * Takes fast workers first, and of like ones those with the least room, to leave others whole.
   */
  private static GangPlan fill(
      List<Forecast> forecasts, int[] slots, Gang gang, double spread, long start) {
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
    long end = start + (long) (gang.runMillis * spread / slowest);
    return new GangPlan(start, end, placements);
  }

  /**
   * Returns how long the gang is expected to run by this plan.
   *
   * @return the time in ms
   */
  public long runMillis() {
    return endMillis - startMillis;
  }

  /** Keeps the room of the plan for it. */
  public void reserve(StepSpec step) {
    Map<Forecast, Integer> tasks = new LinkedHashMap<>();
    placements.forEach(place -> tasks.merge(place, 1, Integer::sum));
    tasks.forEach((place, n) -> place.reserve(step.booked(), n, startMillis, endMillis));
  }

  /**
   * Returns the workers of the plan.
   *
   * @return each worker once
   */
  public List<CandidateWorker> workers() {
    return placements.stream().map(Forecast::worker).distinct().toList();
  }
}
