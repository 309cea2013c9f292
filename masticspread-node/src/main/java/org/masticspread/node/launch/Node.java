package org.masticspread.node.launch;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.InstantSource;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.stream.Collectors;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.PeerException;
import org.masticspread.model.peer.PeerHandler;
import org.masticspread.model.peer.PeerMessage;
import org.masticspread.model.peer.PeerPort;
import org.masticspread.model.platform.Member;
import org.masticspread.node.api.ApiRoutes;
import org.masticspread.node.api.JobService;
import org.masticspread.node.api.RequestService;
import org.masticspread.node.api.Tokens;
import org.masticspread.node.config.NodeConfig;
import org.masticspread.node.explain.DecisionLog;
import org.masticspread.node.job.JobContext;
import org.masticspread.node.job.JobRouter;
import org.masticspread.node.job.JobShards;
import org.masticspread.node.job.JobTimes;
import org.masticspread.node.member.Authority;
import org.masticspread.node.member.Gossip;
import org.masticspread.node.member.Members;
import org.masticspread.node.member.PeerCalls;
import org.masticspread.node.member.ShardCalls;
import org.masticspread.node.rack.PeerTaskReports;
import org.masticspread.node.rack.RackOwner;
import org.masticspread.node.rack.RackTimes;
import org.masticspread.node.request.AtMostOnceRunner;
import org.masticspread.node.request.EndpointHome;
import org.masticspread.node.request.HomeCalls;
import org.masticspread.node.request.HomeHandover;
import org.masticspread.node.request.RequestRouter;
import org.masticspread.node.request.RetryBudget;
import org.masticspread.node.settings.NodeSettings;
import org.masticspread.node.stop.GracefulStop;
import org.masticspread.policy.estimate.Estimates;
import org.masticspread.policy.health.HealthTracker;
import org.masticspread.policy.jobs.JobQueue;
import org.masticspread.policy.request.RequestScheduler;
import org.masticspread.state.config.ConfigLog;
import org.masticspread.state.ownership.ShardMap;

/**
 * Node with all its components. It opens no network ports itself.
 *
 * <p>Example: {@code Node node = Node.of(settings, platform, InstantSource.system());
 * node.connect(peers); node.start();}.
 */
public final class Node implements AutoCloseable, GracefulStop.Stoppable {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();
  private static final Duration DISPATCH_INTERVAL = Duration.ofMillis(10);
  private static final Duration SCHEDULE_INTERVAL = Duration.ofMillis(50);
  private static final Duration WITHDRAW_INTERVAL = Duration.ofMillis(50);
  private static final Duration ONE_SECOND = Duration.ofSeconds(1);
  private static final Duration EXPIRY_INTERVAL = Duration.ofMinutes(1);
  private static final Duration PLACE_WINDOW = Duration.ofSeconds(2);
  private static final Duration PLACE_TIMEOUT = Duration.ofSeconds(4);
  private static final Duration APPEND_TIMEOUT = Duration.ofHours(2);
  private static final double RETRIES_PER_REQUEST = 0.1;
  private static final double MAX_SAVED_RETRIES = 20;
  private static final int RENEWALS_PER_LEASE = 3;

  private final NodeSettings settings;
  private final Platform platform;
  private final InstantSource clock;
  private final Threads threads;
  private final PeriodicTasks periodicTasks;
  private final MetricRegistry metrics = new MetricRegistry();
  private final UniformRandomProvider random;
  private final Members members;
  private final MembershipRegistration registration;
  private final NodeState state;
  private final NodeConfig config;
  private final EndpointHome home;
  private final HomeHandover handover;
  private final JobShards jobs;
  private final RackOwner racks;
  private final AtMostOnceRunner atMostOnceRunner;
  private final RequestRouter requests;
  private final JobRouter jobRouter;
  private final NodeStatus status;
  private final Gossip gossip;
  private final PeerCalls calls;
  private final PeerHandler handler;
  private NodeOwnershipListener ownershipListener;
  private volatile PeerPort peers = Node::unreachable;
  private volatile String address = "";
  private volatile boolean stopping;
  private volatile boolean started;

  private Node(NodeSettings settings, Platform platform, InstantSource clock, Threads threads) {
    this.threads = threads;
    this.random = RandomSource.XO_SHI_RO_256_PP.create(threads.seed());
    this.periodicTasks = new PeriodicTasks(threads.loops());
    this.settings = settings;
    this.platform = platform;
    this.clock = clock;
    NodeSettings.Timing timing = settings.timing();
    VmId self = settings.vm();
    members = new Members(self, threads.nanos(), timing.gossip().multipliedBy(4));
    registration = new MembershipRegistration(platform.membership(), members, this::member);
    state =
        new NodeState(
            settings,
            platform,
            clock,
            threads.nanos(),
            RandomSource.XO_SHI_RO_256_PP.create(random.nextLong()),
            metrics,
            () -> ownershipListener);
    final Authority authority = new SessionAuthority(self, state::session, members);
    final DecisionLog decisions = new DecisionLog(self, clock);
    final ShardMap map = state.map();
    calls = new PeerCalls(self, (to, m, t) -> peers.call(to, m, t), (from, m) -> handle(from, m));
    config = new NodeConfig(new ConfigLog(state.table(), clock, () -> UUID.randomUUID() + ""));
    RequestScheduler scheduler = RequestScheduler.create(clock).withSeed(random.nextLong());
    home = new EndpointHome(scheduler, platform.endpoints(), clock, metrics);
    handover =
        new HomeHandover(
            self, home, members, calls, map, clock, timing.longestAnswer(), this::homes);
    HomeCalls homes =
        new HomeCalls(
            members,
            calls,
            clock,
            decisions,
            new RetryBudget(RETRIES_PER_REQUEST, MAX_SAVED_RETRIES),
            this::randomInt);
    final ShardCalls shardCalls = new ShardCalls(members, calls, clock, threads.timers());
    RackTimes rackTimes = new RackTimes(timing.workerLease(), timing.skewMargin(), PLACE_WINDOW);
    racks =
        new RackOwner(
            rackTimes,
            clock,
            platform.workers(),
            authority,
            members,
            new PeerTaskReports(members, calls, PLACE_TIMEOUT),
            threads.blocking());
    Estimates estimates = new Estimates();
    JobContext context =
        new JobContext(
            clock,
            new JobTimes(
                PLACE_WINDOW,
                PLACE_TIMEOUT,
                timing.skewMargin(),
                timing.workerLease().dividedBy(2),
                APPEND_TIMEOUT),
            state::append,
            members,
            calls,
            authority,
            new JobQueue(estimates, clock, random.nextLong()),
            estimates,
            new HealthTracker(clock),
            decisions,
            metrics);
    jobs = new JobShards(context, map);
    atMostOnceRunner =
        new AtMostOnceRunner(
            jobs::owned, state::append, homes, authority, clock, threads.timers(), decisions);
    requests = new RequestRouter(homes, shardCalls, map, metrics);
    jobRouter = new JobRouter(self, shardCalls, calls, members, map, clock);
    status = new NodeStatus(self, members, calls, config, this::isReady, settings.workShards());
    DigestSource digests =
        new DigestSource(self, state, config, home, racks, members, () -> stopping);
    gossip = new Gossip(members, calls, digests, timing.gossip().multipliedBy(2), metrics);
    handler =
        new PeerMessageDispatcher(
            members, home, atMostOnceRunner, jobs, racks, config, decisions, threads.blocking());
    ownershipListener =
        new NodeOwnershipListener(jobs, racks, atMostOnceRunner, clock, threads.blocking());
    NodeGauges.register(metrics, state, config, jobs, racks, home);
    config.onChange(this::configure);
  }

  /**
   * Creates a node.
   *
   * @param settings its settings
   * @param platform the platform
   * @param clock the clock
   * @param threads the threads that run its work
   * @return the node, not started yet
   */
  public static Node of(
      NodeSettings settings, Platform platform, InstantSource clock, Threads threads) {
    return new Node(settings, platform, clock, threads);
  }

  /**
   * Connects the node to its peers. A node that is not connected has no peers.
   *
   * @param port the port to other VMs
   * @param reachedAt host and port at which they reach this VM
   */
  public void connect(PeerPort port, String reachedAt) {
    peers = port;
    address = reachedAt;
  }

  /** Starts all periodic tasks. The session opens as soon as the store answers. */
  public void start() {
    NodeSettings.Timing timing = settings.timing();
    registration.refresh();
    periodicTasks.every("session", timing.heartbeat(), state::heartbeat);
    periodicTasks.every("ownership", timing.heartbeat(), this::updateOwnership);
    periodicTasks.every("membership", ONE_SECOND, registration::refresh);
    periodicTasks.every("journal", this::flushInterval, state::flush);
    periodicTasks.every("withdraw", WITHDRAW_INTERVAL, state::withdrawExpired);
    periodicTasks.every("gossip", timing.gossip(), this::sendGossip);
    periodicTasks.every("config", ONE_SECOND, config::poll);
    periodicTasks.every("home", DISPATCH_INTERVAL, home::tick);
    periodicTasks.every("homes", timing.gossip(), handover::update);
    periodicTasks.every("schedule", SCHEDULE_INTERVAL, jobs::schedule);
    periodicTasks.every("recovery", ONE_SECOND, jobs::recover);
    periodicTasks.every("forget", EXPIRY_INTERVAL, jobs::expireRecords);
    periodicTasks.every("leases", timing.workerLease().dividedBy(RENEWALS_PER_LEASE), racks::renew);
    started = true;
    LOG.atInfo().log("node: %s started", settings.vm());
  }

  private int randomInt(int bound) {
    synchronized (random) {
      return random.nextInt(bound);
    }
  }

  private void configure(Configuration configuration) {
    jobs.configure(configuration);
    racks.configure(configuration);
    handover.configure(configuration);
  }

  private void updateOwnership() {
    Set<RackId> rackIds =
        config.inForce().workers().stream().map(w -> w.rack()).collect(Collectors.toSet());
    state.updateOwnership(members, rackIds);
  }

  /** Returns the VMs that are not leaving, without those that are known to have no open session. */
  private Set<VmId> homes() {
    Set<VmId> vms = members.staying();
    state.openVms().ifPresent(vms::retainAll);
    return vms;
  }

  private Member member() {
    return new Member(settings.vm(), settings.dataCentre(), address, stopping);
  }

  private void sendGossip() {
    gossip.send();
    config.fetch(members, calls);
  }

  private Duration flushInterval() {
    return state.flushInterval(Math.max(1, members.staying().size()));
  }

  private static CompletionStage<PeerMessage> unreachable(
      VmId to, PeerMessage message, Duration timeout) {
    return CompletableFuture.failedFuture(new PeerException(false, to + " is not connected", null));
  }

  private CompletionStage<PeerMessage> handle(VmId from, PeerMessage message) {
    return handler.handle(from, message);
  }

  /**
   * Returns the handler of messages of other VMs.
   *
   * @return the handler
   */
  public PeerHandler handler() {
    return this::handle;
  }

  /**
   * Returns the address of a VM.
   *
   * @param vm the VM
   * @return host and port for calls of peers, or empty if it is not listed
   */
  public Optional<String> addressOf(VmId vm) {
    return members.addressOf(vm);
  }

  /**
   * Returns the routes of the HTTP interface.
   *
   * @return the routes
   */
  public ApiRoutes routes() {
    return new ApiRoutes(
        new ApiRoutes.Services(
            requests,
            jobRouter,
            config,
            status,
            new Tokens(settings.operatorTokens(), settings.clusterKey()),
            metrics,
            clock,
            settings.timing().longestAnswer()));
  }

  /**
   * Returns the service that runs requests.
   *
   * @return the service
   */
  public RequestService requests() {
    return requests;
  }

  /**
   * Returns the service that accepts jobs.
   *
   * @return the service
   */
  public JobService jobs() {
    return jobRouter;
  }

  /**
   * Returns the metrics.
   *
   * @return the registry of metrics
   */
  public MetricRegistry metrics() {
    return metrics;
  }

  /**
   * Returns the configuration service.
   *
   * @return the configuration service
   */
  public NodeConfig config() {
    return config;
  }

  private boolean isReady() {
    return started && !stopping && config.inForce().revision() > 0;
  }

  @Override
  public Map<String, Integer> inFlight() {
    Map<String, Integer> counts = new HashMap<>();
    counts.put("requests", requests.inFlight());
    counts.put("home", home.inFlight());
    counts.put("atMostOnce", atMostOnceRunner.inFlight());
    return counts;
  }

  @Override
  public void announceStop() {
    stopping = true;
    registration.refresh();
    gossip.send();
  }

  @Override
  public boolean handOver() {
    return state.handOver();
  }

  @Override
  public void refuseNewWork() {
    requests.refuseNewRequests();
    jobRouter.refuseNewJobs();
  }

  @Override
  public void close() {
    periodicTasks.close();
    state.close();
    registration.deregister();
    threads.close();
    LOG.atInfo().log("node: %s stopped", settings.vm());
  }
}
