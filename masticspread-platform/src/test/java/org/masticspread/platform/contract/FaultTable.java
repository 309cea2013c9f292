package org.masticspread.platform.contract;

import java.time.Duration;
import org.masticspread.platform.standin.FaultKind;
import org.masticspread.platform.standin.FaultRule;

/** Names a fault of a rule by its kind, for tables. */
public final class FaultTable {
  public static final Duration TIME = Duration.ofSeconds(3);

  private FaultTable() {}

  /** Lets a rule show a fault. */
  public static void show(FaultRule rule, FaultKind kind) {
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
