package org.masticspread.node.trial;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.EndpointPort;
import org.masticspread.model.platform.EndpointReply;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.node.launch.Platform;

/**
 * Ports of one VM to the stand-ins that all VMs share; a VM that has ended cannot reach any of
 * them.
 */
final class GatedPlatform {
  private GatedPlatform() {}

  static Platform of(Platform shared, VmGate gate, Runnable onOverfull) {
    return new Platform(
        shared.table(),
        shared.objects(),
        shared.membership(),
        new Workers(shared.workers(), gate, onOverfull),
        endpoints(shared.endpoints(), gate));
  }

  private static EndpointPort endpoints(EndpointPort shared, VmGate gate) {
    return (endpoint, request, timeout) -> call(shared, gate, endpoint, request, timeout);
  }

  private static CompletionStage<EndpointReply> call(
      EndpointPort shared,
      VmGate gate,
      EndpointConfig endpoint,
      RequestSpec request,
      Duration timeout) {
    CompletableFuture<EndpointReply> reply = new CompletableFuture<>();
    if (!gate.isEnded()) {
      var ignored =
          shared
              .call(endpoint, request, timeout)
              .thenAccept(answer -> gate.after(Duration.ZERO, () -> reply.complete(answer)));
    }
    return reply;
  }

  private record Workers(WorkerPort shared, VmGate gate, Runnable onOverfull)
      implements WorkerPort {
    @Override
    public WorkerReport seal(WorkerId worker, long rackEpoch) throws WorkerException {
      requireNotEnded();
      return shared.seal(worker, rackEpoch);
    }

    @Override
    public void start(WorkerId worker, long rackEpoch, StartTask start) throws WorkerException {
      requireNotEnded();
      try {
        shared.start(worker, rackEpoch, start);
      } catch (WorkerException e) {
        if (e.reason() == WorkerException.Reason.OVERFULL) {
          onOverfull.run();
        }
        throw e;
      }
    }

    @Override
    public WorkerReport renew(
        WorkerId worker, long rackEpoch, Instant leaseUntil, List<TaskAttempt> acknowledged)
        throws WorkerException {
      requireNotEnded();
      return shared.renew(worker, rackEpoch, leaseUntil, acknowledged);
    }

    @Override
    public void order(WorkerId worker, long rackEpoch, TaskAttempt task, TaskOrder order)
        throws WorkerException {
      requireNotEnded();
      shared.order(worker, rackEpoch, task, order);
    }

    private void requireNotEnded() throws WorkerException {
      if (gate.isEnded()) {
        throw new WorkerException(WorkerException.Reason.UNREACHABLE, "the VM has ended", null);
      }
    }
  }
}
