package org.masticspread.platform.standin;

import java.time.Duration;

/** Usage of the slots and connections of one executor. Thread-safe. */
final class MemoryExecutor {
  private ExecutorSpec spec = new ExecutorSpec(1, 1, 1);
  private int running;
  private int connected;

  synchronized void setSpec(ExecutorSpec newSpec) {
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

  synchronized boolean acquireSlot() {
    if (running >= spec.slots()) {
      return false;
    }
    running++;
    return true;
  }

  synchronized void releaseSlot() {
    running--;
  }

  synchronized int running() {
    return running;
  }

  synchronized Duration scaledTime(Duration time) {
    return Duration.ofNanos((long) (time.toNanos() / spec.speed()));
  }
}
