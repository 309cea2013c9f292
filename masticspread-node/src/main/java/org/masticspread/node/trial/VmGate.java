package org.masticspread.node.trial;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.masticspread.platform.standin.Pause;
import org.masticspread.platform.standin.VirtualTime;

/**
 * Through which all work of one incarnation of a VM runs, so that it can be held or ended. Not
 * thread-safe: a trial has one thread.
 */
final class VmGate {
  /** The gate whose work runs now, shared by the gates of a cell. */
  static final class Running implements Pause {
    private final VirtualTime time;
    private VmGate gate;

    Running(VirtualTime time) {
      this.time = time;
    }

    /** Lets a blocking call of the running VM wait; other VMs go on meanwhile. */
    @Override
    public void pause(Duration wait) {
      VmGate blocked = gate;
      if (blocked == null) {
        time.advance(wait);
        return;
      }
      blocked.hold();
      time.advance(wait);
      gate = blocked;
      blocked.goOn();
    }
  }

  private final VirtualTime time;
  private final Running running;
  private final Deque<Runnable> held = new ArrayDeque<>();
  private int holds;
  private boolean ended;

  VmGate(VirtualTime time, Running running) {
    this.time = time;
    this.running = running;
  }

  void run(Runnable task) {
    if (ended) {
      return;
    }
    if (holds > 0) {
      held.add(task);
      return;
    }
    VmGate before = running.gate;
    running.gate = this;
    try {
      task.run();
    } finally {
      running.gate = before;
    }
  }

  void after(Duration delay, Runnable task) {
    time.after(delay, () -> run(task));
  }

  void hold() {
    holds++;
  }

  /** Lets held work run, in the order in which it fell due. */
  void goOn() {
    holds--;
    if (holds > 0) {
      return;
    }
    held.forEach(task -> after(Duration.ZERO, task));
    held.clear();
  }

  void end() {
    ended = true;
    held.clear();
  }

  boolean isEnded() {
    return ended;
  }

  boolean answers() {
    return !ended && holds == 0;
  }
}
