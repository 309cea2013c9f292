package org.masticspread.platform.standin;

import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.StoreException.Effect;

/** Makes the errors of a store that met a fault. */
final class StoreFailures {
  private StoreFailures() {}

  static FaultGate<StoreException> gate(Faults faults) {
    return new FaultGate<>(faults, StoreFailures::of);
  }

  private static StoreException of(boolean certainlyNotDone, String message) {
    return new StoreException(certainlyNotDone ? Effect.NONE : Effect.UNKNOWN, message, null);
  }
}
