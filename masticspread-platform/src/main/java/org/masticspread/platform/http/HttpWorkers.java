package org.masticspread.platform.http;

import java.io.IOException;
import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.platform.StartTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerException;
import org.masticspread.model.platform.WorkerException.Reason;
import org.masticspread.model.platform.WorkerPort;
import org.masticspread.model.platform.WorkerReport;

/**
 * Adapter that calls workers over HTTP. Calls block up to the call timeout.
 *
 * <p>Example: {@code new HttpWorkers(id -> config.addressOf(id), HttpSettings.defaults())}.
 * Thread-safe.
 */
public final class HttpWorkers implements WorkerPort, AutoCloseable {
  private static final int MAX_CONNECTIONS = 8;

  private final Function<WorkerId, Optional<String>> addresses;
  private final HttpCallerRegistry callers;

  /**
   * Creates an adapter, which opens connections on demand.
   *
   * @param addresses returns the address of a worker: host and port, or a URL
   * @param settings the timeouts and limits
   */
  public HttpWorkers(Function<WorkerId, Optional<String>> addresses, HttpSettings settings) {
    this.addresses = addresses;
    this.callers = new HttpCallerRegistry(settings);
  }

  @Override
  public WorkerReport seal(WorkerId worker, long rackEpoch) throws WorkerException {
    return call(worker, "/seal", new Protocol.Seal(rackEpoch), WorkerReport.class);
  }

  @Override
  public void start(WorkerId worker, long rackEpoch, StartTask start) throws WorkerException {
    Protocol.Start body = new Protocol.Start(rackEpoch, start);
    var ignored = call(worker, "/start", body, Protocol.Nothing.class);
  }

  @Override
  public WorkerReport renew(
      WorkerId worker, long rackEpoch, Instant leaseUntil, List<TaskAttempt> acknowledged)
      throws WorkerException {
    Protocol.Renew body = new Protocol.Renew(rackEpoch, leaseUntil, acknowledged);
    return call(worker, "/renew", body, WorkerReport.class);
  }

  @Override
  public void order(WorkerId worker, long rackEpoch, TaskAttempt task, TaskOrder order)
      throws WorkerException {
    Protocol.Order body = new Protocol.Order(rackEpoch, task, order);
    var ignored = call(worker, "/order", body, Protocol.Nothing.class);
  }

  @Override
  public void close() {
    callers.close();
  }

  private <T> T call(WorkerId worker, String path, Object body, Class<T> type)
      throws WorkerException {
    Optional<String> address = addresses.apply(worker);
    if (address.isEmpty()) {
      throw error(Reason.UNREACHABLE, worker, "unknown address", null);
    }
    HttpCaller caller = callers.callerFor(address.get(), MAX_CONNECTIONS);
    HttpResult result =
        caller.execute(HttpCallerRegistry.url(address.get(), path), Protocol.write(body));
    if (!result.isAnswered()) {
      boolean sent = result.kind() == HttpResult.Kind.NO_ANSWER;
      throw error(sent ? Reason.NO_ANSWER : Reason.UNREACHABLE, worker, result.detail(), null);
    }
    try {
      return read(worker, result, type);
    } catch (IOException | IllegalArgumentException e) {
      throw error(Reason.NO_ANSWER, worker, "the answer cannot be read", e);
    }
  }

  private static <T> T read(WorkerId worker, HttpResult result, Class<T> type)
      throws IOException, WorkerException {
    if (result.outcome().equals(Protocol.OK)) {
      return Protocol.read(result.body(), type);
    }
    if (!result.outcome().equals(Protocol.REFUSED)) {
      throw error(Reason.NO_ANSWER, worker, "error", null);
    }
    Protocol.Refusal refusal = Protocol.read(result.body(), Protocol.Refusal.class);
    boolean hasReason = refusal.kind().equals(Protocol.Refusal.REASON);
    Reason reason = hasReason ? Reason.valueOf(refusal.value()) : Reason.NO_ANSWER;
    throw error(reason, worker, refusal.detail(), null);
  }

  private static WorkerException error(
      Reason reason, WorkerId worker, String detail, Throwable cause) {
    return new WorkerException(reason, "worker " + worker + ": " + detail, cause);
  }
}
