package org.masticspread.node.trial;

import io.reactivex.rxjava3.core.Scheduler;
import io.reactivex.rxjava3.disposables.Disposable;
import java.time.Duration;
import java.util.concurrent.TimeUnit;

/** Scheduler that runs tasks through the gate of a VM on virtual time. */
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
    private final Disposable workerDisposal = Disposable.empty();

    @Override
    public Disposable schedule(Runnable task, long delay, TimeUnit unit) {
      Disposable taskDisposal = Disposable.empty();
      Duration wait = Duration.ofNanos(Math.max(0, unit.toNanos(delay)));
      gate.after(
          wait,
          () -> {
            if (!taskDisposal.isDisposed() && !workerDisposal.isDisposed()) {
              task.run();
            }
          });
      return taskDisposal;
    }

    @Override
    public void dispose() {
      workerDisposal.dispose();
    }

    @Override
    public boolean isDisposed() {
      return workerDisposal.isDisposed();
    }
  }
}
