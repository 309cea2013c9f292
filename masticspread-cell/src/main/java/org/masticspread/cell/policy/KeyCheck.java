package org.masticspread.cell.policy;

import java.time.Duration;
import java.util.Optional;

/**
 * Decides whether a call may be handled by the API key that it carries.
 *
 * <p>The load that it addresses are calls that arrive at a VM whose configuration may be out of
 * date: it reaches neither the store nor other VMs, it was suspended, or the store answers nobody.
 * A key that was removed meanwhile must not be accepted for longer than the operator allows, and a
 * key that was added meanwhile must not be called unknown.
 */
public final class KeyCheck {
  /**
   * The age up to which a configuration counts as confirmed, as on each VM that reaches the store.
   * Above it, a key that the configuration does not have may have been added since. It is below the
   * shortest time in which a configuration has to take effect where there are keys, which is 3 s.
   */
  public static final Duration NORMAL_AGE = Duration.ofMillis(2000);

  /**
   * When callers may retry a call that could not be decided. A VM that was suspended confirms its
   * configuration within this time, and a retry may reach another VM. Calls come spread over time,
   * and so do their retries.
   */
  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /**
   * The part of the limit up to which a configuration may age. Callers are owed service for 0.6 of
   * the limit after the store or the links fail, when the configuration is up to 1.3 s old already
   * (a probe interval and the poll of the leader): 4.3 s of 5 s. Above, 0.12 of the limit is left
   * for two clocks that are 2 % off, for the clock of the store, and for a suspension that is too
   * short to be noticed.
   */
  private static final double MAX_AGE_SHARE = 0.88;

  private KeyCheck() {}

  /** What becomes of a call. */
  public enum Verdict {
    /** The call may be handled. */
    ACCEPT,
    /** The call carries no key, or one that no team has. */
    UNAUTHORIZED,
    /** The configuration is too old to tell; the call is not handled. */
    NOT_NOW
  }

  /**
   * A call and the knowledge of the VM that received it.
   *
   * @param team the name of the team that has the key of the call; empty for none
   * @param keyGiven whether the call carries a key
   * @param publicRoute whether the route needs no key
   * @param age the time since the configuration was certainly the newest
   * @param revokeWithin the time after which a removed key must not work; empty for no limit
   */
  public record Facts(
      String team,
      boolean keyGiven,
      boolean publicRoute,
      Duration age,
      Optional<Duration> revokeWithin) {}

  /**
   * The result of the check.
   *
   * @param verdict what becomes of the call
   * @param retryAfter the time after which the caller should retry; zero unless the verdict is
   *     {@link Verdict#NOT_NOW}
   */
  public record Decision(Verdict verdict, Duration retryAfter) {}

  /**
   * Decides about a call.
   *
   * @param facts the call and the age of the configuration
   * @return the decision
   */
  public static Decision decide(Facts facts) {
    if (facts.publicRoute) {
      return new Decision(Verdict.ACCEPT, Duration.ZERO);
    }
    if (!facts.keyGiven) {
      return new Decision(Verdict.UNAUTHORIZED, Duration.ZERO);
    }
    if (facts.revokeWithin.isPresent()
        && facts.age.compareTo(maxAge(facts.revokeWithin.get())) > 0) {
      return new Decision(Verdict.NOT_NOW, RETRY_AFTER);
    }
    if (!facts.team.isEmpty()) {
      return new Decision(Verdict.ACCEPT, Duration.ZERO);
    }
    return isConfirmed(facts.age)
        ? new Decision(Verdict.UNAUTHORIZED, Duration.ZERO)
        : new Decision(Verdict.NOT_NOW, RETRY_AFTER);
  }

  /**
   * Returns the age of the configuration up to which keys are accepted.
   *
   * @param revokeWithin the time after which a removed key must not work
   * @return the age
   */
  public static Duration maxAge(Duration revokeWithin) {
    return Duration.ofMillis((long) (revokeWithin.toMillis() * MAX_AGE_SHARE));
  }

  /**
   * Returns whether a configuration is young enough to say that something is not part of it.
   *
   * @param age the time since the configuration was certainly the newest
   * @return whether it is
   */
  public static boolean isConfirmed(Duration age) {
    return age.compareTo(NORMAL_AGE) <= 0;
  }
}
