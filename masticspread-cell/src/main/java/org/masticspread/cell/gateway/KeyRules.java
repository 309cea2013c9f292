package org.masticspread.cell.gateway;

import java.time.Duration;
import java.util.Optional;
import org.masticspread.model.cell.CellConfig;

/**
 * When calls need an API key, and how soon a removed key must stop working.
 *
 * @param required whether calls need a key even if the configuration has no teams
 * @param revokeWithin the time from the acknowledgement of a configuration after which no call with
 *     a key that it removed may run; empty if that is not limited
 */
public record KeyRules(boolean required, Optional<Duration> revokeWithin) {
  /** Calls need a key only if the configuration has teams; revocation is not limited in time. */
  public static final KeyRules NONE = new KeyRules(false, Optional.empty());

  /**
   * Returns whether calls to routes that are not public need a key.
   *
   * @param config the configuration in force
   * @return whether they need one
   */
  public boolean apply(CellConfig config) {
    return required || !config.teams().isEmpty();
  }
}
