package org.masticspread.platform.standin;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;

/**
 * Injects scripted faults into the blocking calls of one stand-in.
 *
 * @param <E> the exception of failed calls
 */
final class FaultInjector<E extends Exception> {
  private final Faults faults;
  private final Failure<E> failure;
  private final Queue<Call<?, ?>> reordered = new ConcurrentLinkedQueue<>();

  FaultInjector(Faults faults, Failure<E> failure) {
    this.faults = faults;
    this.failure = failure;
  }

  /** Creates the exception of a failed call. */
  interface Failure<E extends Exception> {
    E of(boolean certainlyNotDone, String message);
  }

  /** A call, which takes effect when it is run. */
  interface Call<T, X extends Exception> {
    T run() throws X;
  }

  /** A read that returns the state of some time ago. */
  interface AgedRead<T> {
    T run(Duration age);
  }

  /** Runs a call. Exceptions of the call itself are thrown unless its answer is lost. */
  <T, X extends Exception> T run(String name, Call<T, X> call) throws E, X {
    Optional<Fault> fault = faults.next(name);
    return fault.isEmpty() ? runThenReordered(call) : runFaulty(name, call, fault.get());
  }

  /** Runs a read that can return the state of an earlier time. */
  <T> T runRead(String name, AgedRead<T> call) throws E {
    Optional<Fault> fault = faults.next(name);
    Duration age =
        fault.filter(f -> f.kind() == FaultKind.STALE).map(Fault::time).orElse(Duration.ZERO);
    Call<T, RuntimeException> agedRead = () -> call.run(age);
    return fault.isEmpty() ? runThenReordered(agedRead) : runFaulty(name, agedRead, fault.get());
  }

  private <T, X extends Exception> T runFaulty(String name, Call<T, X> call, Fault fault)
      throws E, X {
    switch (fault.kind()) {
      case DOWN:
        throw failure.of(true, name + ": no connection");
      case SLOW:
        faults.pause(fault.time());
        return runThenReordered(call);
      case SILENT:
        faults.pause(fault.time());
        throw failure.of(false, name + ": no answer");
      case ERROR_BEFORE_EFFECT:
        throw failure.of(false, name + ": error");
      case REORDERED:
        reordered.add(call);
        throw failure.of(false, name + ": late");
      case DUPLICATE:
        T answer = runThenReordered(call);
        runIgnoringErrors(call);
        return answer;
      case ANSWER_LOST:
      case CUT:
      case FOREIGN:
        runIgnoringErrors(call);
        throw failure.of(false, name + ": answer lost");
      default:
        return runThenReordered(call);
    }
  }

  private <T, X extends Exception> T runThenReordered(Call<T, X> call) throws X {
    Queue<Call<?, ?>> pending = new ArrayDeque<>();
    for (Call<?, ?> next = reordered.poll(); next != null; next = reordered.poll()) {
      pending.add(next);
    }
    try {
      return call.run();
    } finally {
      pending.forEach(FaultInjector::runIgnoringErrors);
    }
  }

  private static void runIgnoringErrors(Call<?, ?> call) {
    try {
      call.run();
    } catch (Exception e) {
      // A caller whose answer is lost sees neither the result nor the exception.
      return;
    }
  }
}
