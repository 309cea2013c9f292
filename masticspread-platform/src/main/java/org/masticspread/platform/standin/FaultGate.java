package org.masticspread.platform.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Runs the blocking calls of one stand-in through its faults.
 *
 * @param <E> the error of its calls
 */
final class FaultGate<E extends Exception> {
  private final Faults faults;
  private final Failure<E> failure;
  private final Queue<Call<?, ?>> held = new ConcurrentLinkedQueue<>();

  FaultGate(Faults faults, Failure<E> failure) {
    this.faults = faults;
    this.failure = failure;
  }

  /** Creates the error of a call. */
  interface Failure<E extends Exception> {
    E of(boolean certainlyNotDone, String message);
  }

  /** The effect of a call. */
  interface Call<T, X extends Exception> {
    T run() throws X;
  }

  /** A read of what was true some time ago. */
  interface AgedCall<T> {
    T run(Duration age);
  }

  /** Runs a call; a second kind of error of its own passes unless its answer is lost. */
  <T, X extends Exception> T run(String name, Call<T, X> call) throws E, X {
    Optional<Fault> fault = faults.next(name);
    return fault.isEmpty() ? runThenHeld(call) : runFaulty(name, call, fault.get());
  }

  /** Runs a read that can return what was true at an earlier time. */
  <T> T runAged(String name, AgedCall<T> call) throws E {
    Optional<Fault> fault = faults.next(name);
    Duration age =
        fault.filter(f -> f.kind() == FaultKind.STALE).map(Fault::time).orElse(Duration.ZERO);
    Call<T, RuntimeException> aged = () -> call.run(age);
    return fault.isEmpty() ? runThenHeld(aged) : runFaulty(name, aged, fault.get());
  }

  private <T, X extends Exception> T runFaulty(String name, Call<T, X> call, Fault fault)
      throws E, X {
    switch (fault.kind()) {
      case DOWN:
        throw failure.of(true, name + ": no connection");
      case SLOW:
        faults.pause(fault.time());
        return runThenHeld(call);
      case SILENT:
        faults.pause(fault.time());
        throw failure.of(false, name + ": no answer");
      case ERROR_BEFORE_EFFECT:
        throw failure.of(false, name + ": error");
      case REORDERED:
        held.add(call);
        throw failure.of(false, name + ": late");
      case DUPLICATE:
        T answer = runThenHeld(call);
        runQuietly(call);
        return answer;
      case ANSWER_LOST:
      case CUT:
      case FOREIGN:
        runQuietly(call);
        throw failure.of(false, name + ": answer lost");
      default:
        return runThenHeld(call);
    }
  }

  private <T, X extends Exception> T runThenHeld(Call<T, X> call) throws X {
    Queue<Call<?, ?>> late = new ArrayDeque<>();
    for (Call<?, ?> next = held.poll(); next != null; next = held.poll()) {
      late.add(next);
    }
    try {
      return call.run();
    } finally {
      late.forEach(FaultGate::runQuietly);
    }
  }

  private static void runQuietly(Call<?, ?> call) {
    try {
      call.run();
    } catch (Exception e) {
      // The caller of a lost answer learns neither the result nor the error.
      return;
    }
  }
}
