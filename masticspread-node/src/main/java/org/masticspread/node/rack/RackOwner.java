package org.masticspread.node.rack;

import com.google.common.flogger.FluentLogger;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.Acknowledged;
import org.masticspread.model.peer.GangReserved;
import org.masticspread.model.peer.PlaceTasks;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.ReleaseGang;
import org.masticspread.model.peer.ReserveGang;
import org.masticspread.model.peer.RunningTask;
import org.masticspread.model.peer.SealShards;
import org.masticspread.model.peer.ShardsSealed;
import org.masticspread.model.peer.StopTasks;
import org.masticspread.model.peer.TasksPlaced;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.model.result.ResultCode;
import org.masticspread.node.member.Authority;
import org.masticspread.node.member.Members;

/**
 * The racks that this VM owns. Thread-safe; calls block on workers.
 *
 * <p>Example: {@code owner.acquired(shard, epoch)} after a takeover, {@code owner.renew()} at each
 * interval.
 */
public final class RackOwner {
  private static final FluentLogger LOG = FluentLogger.forEnclosingClass();

  private final Map<RackId, RackShard> racks = new ConcurrentHashMap<>();
  private final RackTimes times;
  private final InstantSource clock;
  private final Authority authority;
  private final Members members;
  private final TaskStarter starter;
  private final LeaseRenewal renewal;
  private final WorkerPort workers;
  private volatile Configuration configuration = Configuration.EMPTY;

  /**
   * Creates the component without any rack.
   *
   * @param times the time limits
   * @param clock the clock
   * @param workers the port to the workers
   * @param authority whether this VM may act as owner
   * @param members the members with the shard epochs that they report
   * @param reports the reports of ended tasks to the owners of their work shards
   * @param executor runs the contacts with workers
   */
  public RackOwner(
      RackTimes times,
      InstantSource clock,
      WorkerPort workers,
      Authority authority,
      Members members,
      TaskReports reports,
      Executor executor) {
    this.times = times;
    this.clock = clock;
    this.workers = workers;
    this.authority = authority;
    this.members = members;
    this.starter = new TaskStarter(times, clock, workers, this::mayAct);
    this.renewal =
        new LeaseRenewal(times, clock, workers, reports, members, executor, this::mayAct);
  }

  /**
   * Applies a configuration.
   *
   * @param newer the configuration in force
   */
  public void configure(Configuration newer) {
    configuration = newer;
    racks.values().forEach(r -> r.configure(newer));
  }

  /**
   * Starts owning a rack and seals its workers.
   *
   * @param shard the rack shard
   * @param epoch its epoch
   */
  public void acquired(ShardId shard, long epoch) {
    RackShard rack = new RackShard(shard.rackId(), epoch, times, clock);
    rack.configure(configuration);
    racks.put(shard.rackId(), rack);
    LOG.atInfo().log("rack: owns %s under epoch %d", shard, epoch);
    renewal.contact(rack);
  }

  /**
   * Prepares the handover of a rack to another VM: starts no new tasks on it any more.
   *
   * @param shard the rack shard
   */
  public void release(ShardId shard) {
    Optional.ofNullable(racks.get(shard.rackId())).ifPresent(RackShard::close);
  }

  /**
   * Releases the reservation of a gang.
   *
   * @param message the gang
   * @return OK, or NOT_OWNER if this VM does not own the rack
   */
  public Acknowledged release(ReleaseGang message) {
    Optional<RackShard> rack = owned(message.rack());
    rack.ifPresent(r -> r.ledger().release(message.job(), message.attempt()));
    return new Acknowledged(rack.isPresent() ? ResultCode.OK : ResultCode.NOT_OWNER);
  }

  /**
   * Stops owning a rack.
   *
   * @param shard the rack shard
   */
  public void lost(ShardId shard) {
    if (racks.remove(shard.rackId()) != null) {
      LOG.atInfo().log("rack: no longer owns %s", shard);
    }
  }

  /** Renews the leases of all tasks, seals workers that need it and forwards their reports. */
  public void renew() {
    for (RackShard rack : racks.values()) {
      if (mayAct(rack)) {
        renewal.contact(rack);
      }
    }
  }

  /**
   * Starts tasks.
   *
   * @param message the tasks
   * @return the outcome of each
   */
  public TasksPlaced place(PlaceTasks message) {
    Optional<RackShard> rack = owned(message.rack());
    return rack.isPresent() ? starter.place(rack.get(), message) : starter.refuse(message);
  }

  /**
   * Announces epochs of work shards to a rack.
   *
   * @param message the epochs
   * @return the tasks that run for the shards
   */
  public ShardsSealed seal(SealShards message) {
    Optional<List<RunningTask>> running =
        owned(message.rack()).flatMap(r -> r.seal(message.shards()));
    return running
        .map(tasks -> new ShardsSealed(ResultCode.OK, tasks))
        .orElseGet(() -> new ShardsSealed(ResultCode.NOT_OWNER, List.of()));
  }

  /**
   * Reserves capacity for a gang.
   *
   * @param message the gang
   * @return the number of tasks with reserved capacity
   */
  public GangReserved reserve(ReserveGang message) {
    int reserved =
        owned(message.rack())
            .map(
                r ->
                    r.ledger()
                        .reserve(
                            message.job(),
                            message.attempt(),
                            message.perTask(),
                            message.wanted(),
                            clock.instant().plus(message.ttl())))
            .orElse(0);
    return new GangReserved(reserved);
  }

  /**
   * Stops tasks.
   *
   * @param message the attempts
   * @return OK, or NOT_OWNER if this VM does not own the rack or the epoch of the work shard is
   *     stale
   */
  public Acknowledged stop(StopTasks message) {
    Optional<RackShard> rack = owned(message.rack());
    if (rack.isEmpty() || rack.get().isStale(message.workShard(), message.shardEpoch())) {
      return new Acknowledged(ResultCode.NOT_OWNER);
    }
    for (TaskAttempt task : message.tasks()) {
      Optional<WorkerId> worker = rack.get().ledger().workerOf(task);
      worker.ifPresent(
          w -> WorkerOrders.send(workers, w, rack.get().epoch(), task, TaskOrder.STOP));
    }
    return new Acknowledged(ResultCode.OK);
  }

  /**
   * Returns the state of the owned racks.
   *
   * @return the digests
   */
  public List<RackDigest> digests() {
    return racks.values().stream().map(r -> r.ledger().digest(r.epoch())).toList();
  }

  /**
   * Returns the number of tasks that run, or may run, on owned racks.
   *
   * @return the number of tasks
   */
  public int runningTasks() {
    return racks.values().stream().mapToInt(r -> r.ledger().running(null).size()).sum();
  }

  private Optional<RackShard> owned(RackId rack) {
    return Optional.ofNullable(racks.get(rack)).filter(this::mayAct);
  }

  private boolean mayAct(RackShard rack) {
    return authority.mayActFor(ShardId.rack(rack.rack()), rack.epoch(), members);
  }
}
