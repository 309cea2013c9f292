package org.masticspread.model.cell;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The teams of one configuration. Immutable.
 *
 * <pre>{@code
 * Optional<TeamRule> caller = config.teams().findByKey(KeyHash.of(key));
 * }</pre>
 */
public final class Teams {
  /** No teams. */
  public static final Teams NONE = new Teams(List.of());

  private final Map<String, TeamRule> byName = new LinkedHashMap<>();
  private final Map<KeyHash, TeamRule> byKey = new HashMap<>();

  private Teams(Collection<TeamRule> rules) {
    for (TeamRule rule : rules) {
      byName.put(rule.name(), rule);
      rule.keys().forEach(key -> byKey.put(key, rule));
    }
  }

  /**
   * Creates the teams of a configuration.
   *
   * @param rules the teams; of two with the same name or key, the later one counts
   * @return the teams
   */
  public static Teams of(Collection<TeamRule> rules) {
    return rules.isEmpty() ? NONE : new Teams(rules);
  }

  /**
   * Returns whether there are none.
   *
   * @return whether there are none
   */
  public boolean isEmpty() {
    return byName.isEmpty();
  }

  /**
   * Returns all teams.
   *
   * @return the teams, in the order of the configuration
   */
  public Collection<TeamRule> all() {
    return List.copyOf(byName.values());
  }

  /**
   * Finds the team that a key belongs to.
   *
   * @param key the hash of the key
   * @return the team, or empty if no team has the key
   */
  public Optional<TeamRule> findByKey(KeyHash key) {
    return Optional.ofNullable(byKey.get(key));
  }

  /**
   * Finds a team by its name.
   *
   * @param name the name
   * @return the team, or empty if there is none of that name
   */
  public Optional<TeamRule> find(String name) {
    return Optional.ofNullable(byName.get(name));
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof Teams teams && byName.equals(teams.byName);
  }

  @Override
  public int hashCode() {
    return byName.hashCode();
  }

  @Override
  public String toString() {
    return byName.keySet().toString();
  }
}
