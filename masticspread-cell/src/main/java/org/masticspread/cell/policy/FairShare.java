package org.masticspread.cell.policy;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.masticspread.model.cell.Teams;
import org.masticspread.model.resource.ResourceVector;

/**
 * The weighted shares of an endpoint's capacity of the teams that use it or wait for it.
 *
 * <p>While the work of a large team fills the capacity and its queue, the small teams, whose work
 * would fit, would wait behind it. A team is measured by its dominant resource: the one of which it
 * uses the largest part.
 *
 * <pre>{@code
 * FairShare shares = new FairShare(capacity, Map.of("huts", 59.0, "lifts", 8.0));
 * boolean owedMore = shares.below("huts", running);
 * }</pre>
 */
public final class FairShare {
  private final ResourceVector capacity;
  private final Map<String, Double> weights;
  private final double totalWeight;

  /**
   * Creates the shares.
   *
   * @param capacity the capacity of the usable workers
   * @param weights the weights of the teams that use the capacity or wait for it
   */
  public FairShare(ResourceVector capacity, Map<String, Double> weights) {
    this.capacity = capacity;
    this.weights = Map.copyOf(weights);
    this.totalWeight = weights.values().stream().mapToDouble(Double::doubleValue).sum();
  }

  /**
   * Creates the shares of those teams of a configuration that are active.
   *
   * @param capacity the capacity of the usable workers
   * @param teams the teams of the configuration; others have no weight
   * @param active the names of the teams that use the capacity or wait for it
   * @return the shares
   */
  public static FairShare of(ResourceVector capacity, Teams teams, Collection<String> active) {
    Map<String, Double> weights = new HashMap<>();
    for (String name : active) {
      teams.find(name).ifPresent(team -> weights.put(name, team.weight()));
    }
    return new FairShare(capacity, weights);
  }

  /**
   * Returns the part of the capacity that a team is entitled to while all is in use.
   *
   * @param team the name of the team
   * @return the part, from 0 to 1; 0 for a team without weight
   */
  public double entitlement(String team) {
    return totalWeight <= 0 ? 0 : weights.getOrDefault(team, 0.0) / totalWeight;
  }

  /**
   * Returns whether a team uses less than its share.
   *
   * @param team the name of the team
   * @param used what it uses
   * @return whether it is below its share
   */
  public boolean below(String team, ResourceVector used) {
    return dominantShare(used) < entitlement(team);
  }

  /**
   * Returns the part of the capacity that is used of the resource that is used most.
   *
   * @param used the used resources
   * @return the part; 0 without capacity
   */
  public double dominantShare(ResourceVector used) {
    return Math.max(
        part(used.millicores(), capacity.millicores()),
        Math.max(
            part(used.memoryBytes(), capacity.memoryBytes()),
            part(used.accelerators(), capacity.accelerators())));
  }

  private static double part(long used, long all) {
    return all <= 0 ? 0 : used / (double) all;
  }
}
