package org.masticspread.soak;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.masticspread.adapter.standin.StandInPlatform;

/**
 * Changes the configuration and checks that each version is in force in time on each VM that runs
 * and reaches the store, or a VM that does. Used by one thread.
 */
final class ConfigChecker {
  /** From the acknowledgement by the store until a configuration is in force on each VM. */
  private static final long BOUND_NANOS = Duration.ofSeconds(2).toNanos();

  /** A VM that was started, or woke from a pause, within this time is not in touch. */
  private static final long SETTLE_NANOS = Duration.ofSeconds(3).toNanos();

  /** Longer than a run. */
  private static final long NEVER_NANOS = Duration.ofDays(1).toNanos();

  private static final int STATUS_OK = 200;
  private static final int STATUS_NOT_FOUND = 404;

  /** A version and when the store acknowledged it. */
  private record Change(long version, long ackNanos) {}

  private final StandInPlatform platform;
  private final Callers callers;
  private final List<Change> changes = new ArrayList<>();
  private final List<String> violations = new ArrayList<>();
  private final long[] processSoundNanos;
  private final long[] storeSoundNanos;
  private final long[] silencedNanos;
  private long version = 1;
  private int checks;

  ConfigChecker(StandInPlatform platform, Callers callers, int vmCount) {
    this.platform = platform;
    this.callers = callers;
    processSoundNanos = new long[vmCount];
    storeSoundNanos = new long[vmCount];
    silencedNanos = new long[vmCount];
    Arrays.fill(processSoundNanos, System.nanoTime());
    Arrays.fill(storeSoundNanos, System.nanoTime());
    Arrays.fill(silencedNanos, System.nanoTime() - 2 * BOUND_NANOS);
  }

  /** Notes that a VM does not run, is paused or stops. */
  void processDown(int vm) {
    processSoundNanos[vm] = System.nanoTime() + NEVER_NANOS;
  }

  /** Notes that a VM has been started or woken. */
  void processUp(int vm) {
    processSoundNanos[vm] = System.nanoTime() + SETTLE_NANOS;
  }

  /** Notes that a VM does not reach the store. */
  void storeDown(int vm) {
    storeSoundNanos[vm] = System.nanoTime() + NEVER_NANOS;
  }

  /** Notes that a VM reaches the store over new connections. */
  void storeUp(int vm) {
    storeSoundNanos[vm] = System.nanoTime();
  }

  /** Notes that a VM's connections to the store went silent. */
  void silenced(int vm) {
    long now = System.nanoTime();
    boolean down = storeSoundNanos[vm] - now > 0;
    boolean again =
        now - silencedNanos[vm] < BOUND_NANOS || now - storeSoundNanos[vm] < BOUND_NANOS;
    if (again && !down) {
      storeUp(vm);
    }
    silencedNanos[vm] = now;
  }

  /** Writes the next version. */
  void change() {
    version++;
    platform.configure(version).join();
    changes.add(new Change(version, System.nanoTime()));
  }

  /** Checks the versions whose time has come. */
  void check() {
    while (changes.size() > 1 && System.nanoTime() - changes.get(1).ackNanos > BOUND_NANOS) {
      changes.remove(0);
    }
    if (changes.isEmpty() || System.nanoTime() - changes.get(0).ackNanos < BOUND_NANOS) {
      return;
    }
    boolean newest = changes.size() == 1;
    Change due = changes.remove(0);
    for (int vm = 0; vm < processSoundNanos.length; vm++) {
      if (hasPathToStore(vm, due.ackNanos)) {
        ask(vm, due, newest);
      }
    }
  }

  private boolean hasPathToStore(int vm, long sinceNanos) {
    if (processSoundNanos[vm] - sinceNanos > 0) {
      return false;
    }
    if (storeSoundNanos[vm] - sinceNanos < 0) {
      return true;
    }
    for (int other = 0; other < processSoundNanos.length; other++) {
      boolean sound =
          processSoundNanos[other] - sinceNanos < 0
              && storeSoundNanos[other] - sinceNanos < 0
              && silencedNanos[other] - sinceNanos < 0;
      if (other != vm && sound) {
        return true;
      }
    }
    return false;
  }

  /** Asks a VM for the queue that a version added, unless a newer one may have dropped it. */
  private void ask(int vm, Change due, boolean newest) {
    checks++;
    long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - due.ackNanos);
    int added = callers.count(vm, StandInPlatform.versionPath(due.version));
    if (newest && added == STATUS_NOT_FOUND) {
      report(vm, due, ageMillis, "its queue is unknown");
    }
    int dropped = callers.count(vm, StandInPlatform.versionPath(due.version - 1));
    if (dropped == STATUS_OK) {
      report(vm, due, ageMillis, "the queue that it dropped is served");
    }
  }

  private void report(int vm, Change due, long ageMillis, String what) {
    violations.add(
        "vm-" + (vm + 1) + ", " + ageMillis + " ms after version " + due.version + ": " + what);
  }

  /** Returns how many VMs were asked whether a version is in force. */
  int checks() {
    return checks;
  }

  /** Returns the violations found. */
  List<String> violations() {
    return violations;
  }
}
