package org.masticspread.platform.http;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.EndpointPort;
import org.masticspread.model.platform.EndpointReply;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipList;
import org.masticspread.model.platform.ObjectStore;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.model.work.RequestSpec;

/** Routes HTTP paths to the ports of a platform. */
final class StandInRoutes {
  private static final Duration MAX_RUN_TIME = Duration.ofMinutes(2);

  private final Map<String, Route> fixedRoutes;
  private final WorkerPort workers;
  private final EndpointPort endpoints;

  StandInRoutes(
      TableService table,
      ObjectStore objects,
      MembershipList membership,
      WorkerPort workers,
      EndpointPort endpoints) {
    this.workers = workers;
    this.endpoints = endpoints;
    this.fixedRoutes =
        Map.of(
            "/table/read", body -> read(table, body),
            "/table/scan", body -> scan(table, body),
            "/table/commit", body -> commit(table, body),
            "/objects/put", body -> put(objects, body),
            "/objects/get", body -> get(objects, body),
            "/objects/list", body -> list(objects, body),
            "/objects/delete", body -> delete(objects, body),
            "/membership/read", body -> ServerAnswer.json(membership.read()),
            "/membership/register", body -> register(membership, body),
            "/membership/deregister", body -> deregister(membership, body));
  }

  /** Serves a call; the returned stage never completes exceptionally. */
  CompletionStage<ServerAnswer> serve(String path, byte[] body) {
    try {
      return route(path, body);
    } catch (Exception e) {
      return CompletableFuture.completedStage(ServerAnswer.refused(e));
    }
  }

  private CompletionStage<ServerAnswer> route(String path, byte[] body) throws Exception {
    String[] parts = path.split("/", -1);
    boolean targeted = parts.length == 4;
    if (targeted && parts[1].equals("endpoints") && parts[3].equals("run")) {
      return run(EndpointId.of(parts[2]), body);
    }
    Route route =
        targeted && parts[1].equals("workers") ? worker(parts[2], parts[3]) : fixedRoutes.get(path);
    ServerAnswer answer = route == null ? ServerAnswer.unknownPath(path) : route.serve(body);
    return CompletableFuture.completedStage(answer);
  }

  private CompletionStage<ServerAnswer> run(EndpointId endpoint, byte[] body) throws Exception {
    RequestSpec request = Protocol.read(body, RequestSpec.class);
    return endpoints.call(config(endpoint), request, MAX_RUN_TIME).thenApply(StandInRoutes::reply);
  }

  private static ServerAnswer reply(EndpointReply reply) {
    return switch (reply.outcome()) {
      case ANSWERED -> ServerAnswer.ok(reply.body().bytes());
      case ERROR -> ServerAnswer.error(reply.body().bytes());
      case BUSY, CONNECT_FAILED -> ServerAnswer.BUSY;
      case NO_ANSWER -> ServerAnswer.NONE;
    };
  }

  /** Returns a placeholder configuration, of which stand-ins read only the name. */
  private static EndpointConfig config(EndpointId endpoint) {
    PoolId pool = PoolId.of("stand-in");
    DataCentreId dataCentre = DataCentreId.of("stand-in");
    return new EndpointConfig(endpoint, pool, dataCentre, "", 1, 1, EndpointState.ACTIVE);
  }

  private Route worker(String name, String method) {
    WorkerId worker = WorkerId.of(name);
    return switch (method) {
      case "seal" -> body -> seal(worker, body);
      case "start" -> body -> start(worker, body);
      case "renew" -> body -> renew(worker, body);
      case "order" -> body -> order(worker, body);
      default -> null;
    };
  }

  private ServerAnswer seal(WorkerId worker, byte[] body) throws Exception {
    Protocol.Seal seal = Protocol.read(body, Protocol.Seal.class);
    return ServerAnswer.json(workers.seal(worker, seal.rackEpoch()));
  }

  private ServerAnswer start(WorkerId worker, byte[] body) throws Exception {
    Protocol.Start start = Protocol.read(body, Protocol.Start.class);
    workers.start(worker, start.rackEpoch(), start.start());
    return emptyAnswer();
  }

  private ServerAnswer renew(WorkerId worker, byte[] body) throws Exception {
    Protocol.Renew renew = Protocol.read(body, Protocol.Renew.class);
    return ServerAnswer.json(
        workers.renew(worker, renew.rackEpoch(), renew.leaseUntil(), renew.acknowledged()));
  }

  private ServerAnswer order(WorkerId worker, byte[] body) throws Exception {
    Protocol.Order order = Protocol.read(body, Protocol.Order.class);
    workers.order(worker, order.rackEpoch(), order.task(), order.order());
    return emptyAnswer();
  }

  private static ServerAnswer read(TableService table, byte[] body) throws Exception {
    Protocol.ReadRow read = Protocol.read(body, Protocol.ReadRow.class);
    return ServerAnswer.json(
        new Protocol.Rows(table.read(read.key()).map(List::of).orElse(List.of())));
  }

  private static ServerAnswer scan(TableService table, byte[] body) throws Exception {
    Protocol.ScanRows scan = Protocol.read(body, Protocol.ScanRows.class);
    return ServerAnswer.json(
        new Protocol.Rows(table.scan(scan.prefix(), scan.after(), scan.limit())));
  }

  private static ServerAnswer commit(TableService table, byte[] body) throws Exception {
    table.commit(Protocol.read(body, Transaction.class));
    return emptyAnswer();
  }

  private static ServerAnswer put(ObjectStore objects, byte[] body) throws Exception {
    Protocol.PutObject put = Protocol.read(body, Protocol.PutObject.class);
    objects.put(put.name(), put.content());
    return emptyAnswer();
  }

  private static ServerAnswer get(ObjectStore objects, byte[] body) throws Exception {
    Protocol.NamedObject named = Protocol.read(body, Protocol.NamedObject.class);
    return ServerAnswer.json(new Protocol.FoundObject(objects.get(named.name()).orElse(null)));
  }

  private static ServerAnswer list(ObjectStore objects, byte[] body) throws Exception {
    Protocol.NamedObject named = Protocol.read(body, Protocol.NamedObject.class);
    return ServerAnswer.json(new Protocol.ObjectNames(objects.list(named.name())));
  }

  private static ServerAnswer delete(ObjectStore objects, byte[] body) throws Exception {
    objects.delete(Protocol.read(body, Protocol.NamedObject.class).name());
    return emptyAnswer();
  }

  private static ServerAnswer register(MembershipList membership, byte[] body) throws Exception {
    membership.register(Protocol.read(body, Member.class));
    return emptyAnswer();
  }

  private static ServerAnswer deregister(MembershipList membership, byte[] body) throws Exception {
    membership.deregister(Protocol.read(body, Protocol.Deregister.class).vm());
    return emptyAnswer();
  }

  private static ServerAnswer emptyAnswer() {
    return ServerAnswer.json(new Protocol.Nothing());
  }

  /** Serves the calls of one path. */
  @FunctionalInterface
  private interface Route {
    ServerAnswer serve(byte[] body) throws Exception;
  }
}
