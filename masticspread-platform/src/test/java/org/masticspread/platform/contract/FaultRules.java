package org.masticspread.platform.contract;

import java.time.Duration;
import org.masticspread.platform.standin.FaultKind;
import org.masticspread.platform.standin.FaultRule;

/** Sets the fault of a rule by its kind, for parameterized tests. */
public final class FaultRules {
  public static final Duration TIME = Duration.ofSeconds(3);

  private FaultRules() {}

  /** Activates a rule with a kind of fault. */
  public static void activate(FaultRule rule, FaultKind kind) {
    switch (kind) {
      case DOWN -> rule.down();
      case SLOW -> rule.slow(TIME);
      case ERROR_BEFORE_EFFECT -> rule.errorBeforeEffect();
      case ANSWER_LOST -> rule.answerLost();
      case STALE -> rule.stale(TIME);
      case DUPLICATE -> rule.duplicate();
      case REORDERED -> rule.reordered();
      case CUT -> rule.cut();
      case FOREIGN -> rule.foreign();
      default -> rule.silent(TIME);
    }
  }
}
