package org.masticspread.cell.gateway;

import java.time.Duration;
import java.util.Optional;
import org.masticspread.cell.lead.Vm;
import org.masticspread.cell.policy.KeyCheck;
import org.masticspread.cell.policy.KeyCheck.Verdict;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.cell.KeyHash;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.cell.TeamRule;

/**
 * Checks the API keys of calls at the VM that receives them, by {@link KeyCheck}. A key is hashed
 * once for each call, which takes about a microsecond, so no hashes are kept. Confined to the VM's
 * thread.
 *
 * <pre>{@code
 * ApiKeys.Caller caller = keys.check(key, queue, config, "POST /checks/1a04117e7b14abcb");
 * if (caller.access() == ApiKeys.Access.GRANTED) {
 *   gateway.forward(callOf(caller.team()), timeout, reply);
 * }
 * }</pre>
 */
public final class ApiKeys {
  private static final String TOO_OLD_COUNTER = "refused.config.age";

  private final Vm vm;
  private final KeyRules rules;

  /**
   * Creates a check.
   *
   * @param vm the VM, whose configuration and its age are used
   * @param rules when calls need a key
   */
  public ApiKeys(Vm vm, KeyRules rules) {
    this.vm = vm;
    this.rules = rules;
  }

  /** What becomes of a call. */
  public enum Access {
    /** The call may be handled. */
    GRANTED,
    /** The call carries no key, or one that no team has. */
    UNAUTHORIZED,
    /** The configuration is too old to tell; the call must not be handled. */
    NOT_NOW
  }

  /**
   * The caller of a request.
   *
   * @param access whether its call may be handled
   * @param team the team that its key belongs to; empty for none
   * @param retryAfter the time after which to retry; zero unless the access is {@link
   *     Access#NOT_NOW}
   */
  public record Caller(Access access, String team, Duration retryAfter) {}

  /**
   * Checks the key of a call. Where keys are not required, it is ignored.
   *
   * @param key the key; empty if the call carries none
   * @param queue the queue of the call
   * @param config the configuration by which the queue was chosen
   * @param call describes the call in the log
   * @return the caller
   */
  public Caller check(Optional<String> key, QueueRule queue, CellConfig config, String call) {
    if (!rules.apply(config)) {
      return new Caller(Access.GRANTED, "", Duration.ZERO);
    }
    String team =
        key.flatMap(given -> config.teams().findByKey(KeyHash.of(given)))
            .map(TeamRule::name)
            .orElse("");
    KeyCheck.Facts facts =
        new KeyCheck.Facts(
            team, key.isPresent(), queue.publicAccess(), vm.configAge(), rules.revokeWithin());
    KeyCheck.Decision decision = KeyCheck.decide(facts);
    if (decision.verdict() != Verdict.ACCEPT) {
      report(call, queue, config, facts, decision.verdict());
    }
    return new Caller(access(decision.verdict()), team, decision.retryAfter());
  }

  /**
   * Returns whether a route that the configuration does not have may have been added since.
   *
   * @param config the configuration
   * @param call describes the call in the log
   * @return whether the call must be refused because of that; never where keys are not required
   */
  public boolean mayLackRoute(CellConfig config, String call) {
    Duration age = vm.configAge();
    if (!rules.apply(config) || KeyCheck.isConfirmed(age)) {
      return false;
    }
    vm.ports().metrics().counter(TOO_OLD_COUNTER).inc();
    vm.ports()
        .log()
        .event(
            "call-route-unchecked",
            call,
            "config",
            config.version(),
            "configAgeMs",
            age.toMillis());
    return true;
  }

  private static Access access(Verdict verdict) {
    return switch (verdict) {
      case ACCEPT -> Access.GRANTED;
      case UNAUTHORIZED -> Access.UNAUTHORIZED;
      case NOT_NOW -> Access.NOT_NOW;
    };
  }

  private void report(
      String call, QueueRule queue, CellConfig config, KeyCheck.Facts facts, Verdict verdict) {
    boolean unauthorized = verdict == Verdict.UNAUTHORIZED;
    vm.ports().metrics().counter(unauthorized ? "calls.unauthorized" : TOO_OLD_COUNTER).inc();
    vm.ports()
        .log()
        .event(
            unauthorized ? "call-unauthorized" : "call-key-unchecked",
            call,
            "queue",
            queue.name(),
            "keyGiven",
            facts.keyGiven(),
            "team",
            facts.team(),
            "config",
            config.version(),
            "configAgeMs",
            facts.age().toMillis());
  }
}
