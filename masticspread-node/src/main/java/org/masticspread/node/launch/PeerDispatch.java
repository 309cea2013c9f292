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

/** Hands each message of a peer to the part that answers it. */
final class PeerDispatch implements PeerHandler {
  private final Members members;
  private final EndpointHome home;
  private final AtMostOnceRunner atMostOnce;
  private final JobShards jobs;
  private final RackOwner racks;
  private final NodeConfig config;
  private final DecisionLog decisions;
  private final Executor blocking;

  PeerDispatch(
      Members members,
      EndpointHome home,
      AtMostOnceRunner atMostOnce,
      JobShards jobs,
      RackOwner racks,
      NodeConfig config,
      DecisionLog decisions,
      Executor blocking) {
    this.members = members;
    this.home = home;
    this.atMostOnce = atMostOnce;
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
      return done(new Acknowledged(ResultCode.OK));
    }
    if (message instanceof RunAtHome m) {
      return home.run(m.request()).thenApply(RequestAnswered::new);
    }
    if (message instanceof RunAtShard m) {
      return atMostOnce.run(m).thenApply(RequestAnswered::new);
    }
    if (message instanceof AskInFlight m) {
      return done(home.inFlight(m));
    }
    if (message instanceof FetchConfig m) {
      return done(config.answer(m));
    }
    if (message instanceof Explain m) {
      return done(new Explained(decisions.of(m.subject())));
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
      return done(jobs.list(m));
    }
    if (message instanceof ReportTasks m) {
      return jobs.report(m).thenApply(a -> a);
    }
    return handleRack(message);
  }

  /** Calls to workers block, so they run apart. */
  private CompletionStage<PeerMessage> handleRack(PeerMessage message) {
    if (message instanceof PlaceTasks m) {
      return CompletableFuture.supplyAsync(() -> racks.place(m), blocking);
    }
    if (message instanceof StopTasks m) {
      return CompletableFuture.supplyAsync(() -> racks.stop(m), blocking);
    }
    if (message instanceof SealShards m) {
      return done(racks.seal(m));
    }
    if (message instanceof ReserveGang m) {
      return done(racks.reserve(m));
    }
    if (message instanceof ReleaseGang m) {
      return done(racks.release(m));
    }
    return CompletableFuture.failedFuture(
        new IllegalArgumentException("no part answers " + message.getClass().getSimpleName()));
  }

  private static CompletionStage<PeerMessage> done(PeerMessage answer) {
    return CompletableFuture.completedFuture(answer);
  }
}
