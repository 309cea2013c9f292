package org.masticspread.model.cell;

import java.util.Set;
import org.masticspread.model.resource.ResourceVector;

/**
 * The configuration of a team.
 *
 * @param name the name
 * @param weight the share of the capacity when all is in use, and the jobs per second that the team
 *     is entitled to submit
 * @param cap what the team may have running in total; 0 means that a resource is not limited
 * @param keys the hashes of its API keys
 */
public record TeamRule(String name, double weight, ResourceVector cap, Set<KeyHash> keys) {
  /** Copies the set. */
  public TeamRule {
    keys = Set.copyOf(keys);
  }
}
