package org.masticspread.platform.standin;

import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.StoreException.Effect;

/** Creates the exceptions of a store into which a fault is injected. */
final class StoreFailures {
  private StoreFailures() {}

  static FaultInjector<StoreException> injector(Faults faults) {
    return new FaultInjector<>(faults, StoreFailures::of);
  }

  private static StoreException of(boolean certainlyNotDone, String message) {
    return new StoreException(certainlyNotDone ? Effect.NONE : Effect.UNKNOWN, message, null);
  }
}
