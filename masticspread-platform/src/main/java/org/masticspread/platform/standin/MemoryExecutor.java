package org.masticspread.platform.standin;

import java.time.Duration;

/** The slots and connections of one executor. Thread-safe. */
final class MemoryExecutor {
  private ExecutorSpec spec = new ExecutorSpec(1, 1, 1);
  private int running;
  private int connected;

  synchronized void set(ExecutorSpec newSpec) {
    spec = newSpec;
  }

  synchronized boolean connect() {
    if (connected >= spec.connections()) {
      return false;
    }
    connected++;
    return true;
  }

  synchronized void disconnect() {
    connected--;
  }

  synchronized boolean take() {
    if (running >= spec.slots()) {
      return false;
    }
    running++;
    return true;
  }

  synchronized void release() {
    running--;
  }

  synchronized int running() {
    return running;
  }

  synchronized Duration scaled(Duration time) {
    return Duration.ofNanos((long) (time.toNanos() / spec.speed()));
  }
}
