package org.masticspread.node.launch;

import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.Executor;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.Acknowledged;
import org.masticspread.model.peer.AskInFlight;
import org.masticspread.model.peer.CancelJob;
import org.masticspread.model.peer.Digest;
import org.masticspread.model.peer.Explain;
import org.masticspread.model.peer.Explained;
import org.masticspread.model.peer.FetchConfig;
import org.masticspread.model.peer.ListJobs;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.PlaceTasks;
import org.masticspread.model.peer.ReadJob;
import org.masticspread.model.peer.ReleaseGang;
import org.masticspread.model.peer.ReportTasks;
import org.masticspread.model.peer.RequestAnswered;
import org.masticspread.model.peer.ReserveGang;
import org.masticspread.model.peer.RunAtHome;
import org.masticspread.model.peer.RunAtShard;
import org.masticspread.model.peer.SealShards;
import org.masticspread.model.peer.StopTasks;
import org.masticspread.model.peer.SubmitJob;
import org.masticspread.model.result.ResultCode;
import org.masticspread.node.config.NodeConfig;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.node.job.JobShards;
import org.masticspread.node.member.Members;
import org.masticspread.node.rack.RackOwner;
import org.masticspread.node.request.AtMostOnceRunner;
import org.masticspread.node.request.EndpointHome;

/** Dispatches each message of a peer to the component that answers it. */
final class PeerMessageDispatcher implements PeerHandler {
  private final Members members;
  private final EndpointHome home;
  private final AtMostOnceRunner atMostOnceRunner;
  private final JobShards jobs;
  private final RackOwner racks;
  private final NodeConfig config;
  private final DecisionLog decisions;
  private final Executor blocking;

  PeerMessageDispatcher(
      Members members,
      EndpointHome home,
      AtMostOnceRunner atMostOnceRunner,
      JobShards jobs,
      RackOwner racks,
      NodeConfig config,
      DecisionLog decisions,
      Executor blocking) {
    this.members = members;
    this.home = home;
    this.atMostOnceRunner = atMostOnceRunner;
    this.jobs = jobs;
    this.racks = racks;
    this.config = config;
    this.decisions = decisions;
    this.blocking = blocking;
  }

  @Override
  public CompletionStage<PeerMessage> handle(VmId from, PeerMessage message) {
    if (message instanceof Digest m) {
      members.update(m);
      return completed(new Acknowledged(ResultCode.OK));
    }
    if (message instanceof RunAtHome m) {
      return home.run(m.request()).thenApply(RequestAnswered::new);
    }
    if (message instanceof RunAtShard m) {
      return atMostOnceRunner.run(m).thenApply(RequestAnswered::new);
    }
    if (message instanceof AskInFlight m) {
      return completed(home.inFlight(m));
    }
    if (message instanceof FetchConfig m) {
      return completed(config.answer(m));
    }
    if (message instanceof Explain m) {
      return completed(new Explained(decisions.of(m.subject())));
    }
    return handleJob(message);
  }

  private CompletionStage<PeerMessage> handleJob(PeerMessage message) {
    if (message instanceof SubmitJob m) {
      return jobs.submit(m).thenApply(a -> a);
    }
    if (message instanceof ReadJob m) {
      return jobs.read(m).thenApply(a -> a);
    }
    if (message instanceof CancelJob m) {
      return jobs.cancel(m).thenApply(a -> a);
    }
    if (message instanceof ListJobs m) {
      return completed(jobs.list(m));
    }
    if (message instanceof ReportTasks m) {
      return jobs.report(m).thenApply(a -> a);
    }
    return handleRack(message);
  }

  /**
   * Dispatches messages for rack owners. Calls to workers block, so they run on the blocking
   * executor.
   */
  private CompletionStage<PeerMessage> handleRack(PeerMessage message) {
    if (message instanceof PlaceTasks m) {
      return CompletableFuture.supplyAsync(() -> racks.place(m), blocking);
    }
    if (message instanceof StopTasks m) {
      return CompletableFuture.supplyAsync(() -> racks.stop(m), blocking);
    }
    if (message instanceof SealShards m) {
      return completed(racks.seal(m));
    }
    if (message instanceof ReserveGang m) {
      return completed(racks.reserve(m));
    }
    if (message instanceof ReleaseGang m) {
      return completed(racks.release(m));
    }
    return CompletableFuture.failedFuture(
        new IllegalArgumentException(
            "no handler for message type " + message.getClass().getSimpleName()));
  }

  private static CompletionStage<PeerMessage> completed(PeerMessage answer) {
    return CompletableFuture.completedFuture(answer);
  }
}
