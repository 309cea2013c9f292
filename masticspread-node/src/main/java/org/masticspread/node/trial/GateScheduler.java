package org.masticspread.node.trial;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Runs tasks through the gate of a VM on virtual time. */
final class GateScheduler extends Scheduler {
  private final VmGate gate;

  GateScheduler(VmGate gate) {
    this.gate = gate;
  }

  @Override
  public Worker createWorker() {
    return new GateWorker();
  }

  private final class GateWorker extends Worker {
    private final Disposable open = Disposable.empty();

    @Override
    public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
      Disposable one = Disposable.empty();
      Duration wait = Duration.ofNanos(Math.max(0, unit.toNanos(delay)));
      gate.after(
          wait,
          () -> {
            if (!one.isDisposed() && !open.isDisposed()) {
              task.run();
            }
          });
      return one;
    }

    @Override
    public void dispose() {
      open.dispose();
    }

    @Override
    public boolean isDisposed() {
      return open.isDisposed();
    }
  }
}
