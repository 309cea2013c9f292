package org.masticspread.node.trial;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Deque;
import org.masticspread.platform.standin.Pause;
import org.masticspread.platform.standin.VirtualTime;

/**
 * Gate through which all work of one incarnation of a VM runs, so that the work can be suspended or
 * ended. Not thread-safe: a trial has one thread.
 */
final class VmGate {
  /** Holder of the gate whose work is running, shared by all gates of a cell. */
  static final class RunningGate implements Pause {
    private final VirtualTime time;
    private VmGate gate;

    RunningGate(VirtualTime time) {
      this.time = time;
    }

    /**
     * Suspends the running VM for the duration of a blocking call, while the other VMs continue.
     */
    @Override
    public void pause(Duration wait) {
      VmGate blocked = gate;
      if (blocked == null) {
        time.advance(wait);
        return;
      }
      blocked.suspend();
      time.advance(wait);
      gate = blocked;
      blocked.resume();
    }
  }

  private final VirtualTime time;
  private final RunningGate running;
  private final Deque<Runnable> suspendedTasks = new ArrayDeque<>();
  private int suspensions;
  private boolean ended;

  VmGate(VirtualTime time, RunningGate running) {
    this.time = time;
    this.running = running;
  }

  void run(Runnable task) {
    if (ended) {
      return;
    }
    if (suspensions > 0) {
      suspendedTasks.add(task);
      return;
    }
    VmGate previous = running.gate;
    running.gate = this;
    try {
      task.run();
    } finally {
      running.gate = previous;
    }
  }

  void after(Duration delay, Runnable task) {
    time.after(delay, () -> run(task));
  }

  void suspend() {
    suspensions++;
  }

  /** Resumes the VM and runs the suspended work in the order in which it became due. */
  void resume() {
    suspensions--;
    if (suspensions > 0) {
      return;
    }
    suspendedTasks.forEach(task -> after(Duration.ZERO, task));
    suspendedTasks.clear();
  }

  void end() {
    ended = true;
    suspendedTasks.clear();
  }

  boolean isEnded() {
    return ended;
  }

  boolean isResponsive() {
    return !ended && suspensions == 0;
  }
}
