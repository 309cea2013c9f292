package org.masticspread.platform.contract;

import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.function.BooleanSupplier;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.ShardId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.EndpointPort;
import org.masticspread.model.platform.MembershipList;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.Urgency;
import org.masticspread.platform.http.HttpEndpoints;
import org.masticspread.platform.http.HttpMembership;
import org.masticspread.platform.http.HttpObjects;
import org.masticspread.platform.http.HttpSettings;
import org.masticspread.platform.http.HttpTable;
import org.masticspread.platform.http.HttpWorkers;
import org.masticspread.platform.http.PlatformServer;
import org.masticspread.platform.standin.EndpointFleet;
import org.masticspread.platform.standin.ExecutorSpec;
import org.masticspread.platform.standin.Faults;
import org.masticspread.platform.standin.MemoryMembership;
import org.masticspread.platform.standin.MemoryObjects;
import org.masticspread.platform.standin.MemoryTable;
import org.masticspread.platform.standin.VirtualTime;
import org.masticspread.platform.standin.WorkerFleet;

/** A platform of stand-ins on virtual time, called in memory or over HTTP. */
public final class PlatformFixture implements AutoCloseable {
  public static final WorkerId WORKER = WorkerId.of("w1");
  public static final EndpointId ENDPOINT = EndpointId.of("e1");
  public static final ResourceVector CAPACITY = new ResourceVector(4000, 8000, 1);
  public static final ResourceVector HALF_CAPACITY = new ResourceVector(2000, 4000, 0);
  public static final Duration LAG = Duration.ofSeconds(2);
  public static final Duration USAGE_LAG = Duration.ofSeconds(5);
  private static final Duration TIMEOUT = Duration.ofSeconds(60);
  private static final Duration STEP = Duration.ofMillis(100);
  private static final long SEED = 11;

  public final VirtualTime time = VirtualTime.from(Instant.parse("2026-01-01T00:00:00Z"));
  public final Faults faults = Faults.seeded(time, time, SEED);
  public final MemoryTable memoryTable = new MemoryTable(faults);
  public final MemoryMembership memoryMembership = new MemoryMembership(time, LAG, faults);
  public final WorkerFleet fleet =
      WorkerFleet.clockedBy(time).withFaults(faults).withUsageLag(USAGE_LAG).add(WORKER, CAPACITY);
  public final EndpointFleet executors =
      EndpointFleet.clockedBy(time, time)
          .withFaults(faults)
          .add(ENDPOINT, new ExecutorSpec(2, 4, 2));

  public TableService table = memoryTable;
  public ObjectStore objects = new MemoryObjects(faults);
  public MembershipList membership = memoryMembership;
  public WorkerPort workers = fleet;
  public EndpointPort endpoints = executors;
  public PlatformServer server;

  /** Returns a platform in memory. */
  public static PlatformFixture inMemory() {
    return new PlatformFixture();
  }

  /** Returns a platform that is called through a server on loopback. */
  public static PlatformFixture overHttp(HttpSettings settings) {
    PlatformFixture platform = new PlatformFixture();
    platform.server =
        PlatformServer.of(
                platform.table,
                platform.objects,
                platform.membership,
                platform.workers,
                platform.endpoints)
            .withFaults(platform.faults)
            .listen(0);
    String address = platform.server.address();
    platform.table = new HttpTable(address, settings);
    platform.objects = new HttpObjects(address, settings);
    platform.membership = new HttpMembership(address, settings);
    platform.workers =
        new HttpWorkers(
            id -> Optional.of(platform.server.addressOf(id)).filter(a -> !a.endsWith("none")),
            settings);
    platform.endpoints = new HttpEndpoints(settings);
    return platform;
  }

  /** Returns the configuration of the endpoint. */
  public EndpointConfig endpoint(int connections) {
    String address = server == null ? "" : server.addressOf(ENDPOINT);
    PoolId pool = PoolId.of("p");
    DataCentreId dataCentre = DataCentreId.of("d");
    return new EndpointConfig(
        ENDPOINT, pool, dataCentre, address, 2, connections, EndpointState.ACTIVE);
  }

  /** Returns a request of one team. */
  public RequestSpec request(String id, String body) {
    RequestKey key = new RequestKey(TeamId.of("t"), RequestId.of(id));
    return new RequestSpec(
        key,
        WorkClassId.of("c"),
        Urgency.values()[0],
        true,
        time.instant().plusSeconds(60),
        Payload.ofText(body));
  }

  /** Returns a start order for a task that takes half of the worker. */
  public StartTask start(int index, int attempt, String command) {
    return new StartTask(
        task(index),
        attempt,
        ShardId.work(3),
        HALF_CAPACITY,
        time.instant().plusSeconds(30),
        time.instant().plusSeconds(1),
        Payload.ofText(command));
  }

  /** Returns the key of a task of one job. */
  public static TaskKey task(int index) {
    return new TaskKey(new JobKey(TeamId.of("t"), JobId.of("j")), index);
  }

  /** Advances the virtual time until a stage has completed, and returns its result. */
  public <T> T await(CompletionStage<T> stage) {
    CompletableFuture<T> future = stage.toCompletableFuture();
    waitUntil(
        () -> {
          boolean done = future.isDone();
          time.advance(done ? Duration.ZERO : STEP);
          return done;
        });
    return future.getNow(null);
  }

  /** Waits for a condition, and fails after a generous timeout. */
  public static void waitUntil(BooleanSupplier condition) {
    long end = System.nanoTime() + TIMEOUT.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("the condition was not met in time");
      }
      Thread.onSpinWait();
    }
  }

  @Override
  public void close() {
    if (server != null) {
      server.close();
    }
  }
}
