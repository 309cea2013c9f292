package org.masticspread.ctl.client;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectReader;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.stream.Stream;
import okhttp3.HttpUrl;
import org.masticspread.codec.Mappers;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobView;

/**
 * A client of the HTTP API of the nodes of a cell.
 *
 * <p>The client tries the nodes in order, the next one only if no part of the call was sent; it
 * does not retry calls otherwise. Thread-safe.
 *
 * <p>Example: {@code ApiClient.connect(List.of("http://127.0.0.1:7080"), token,
 * Duration.ofSeconds(30)).status()}.
 */
public final class ApiClient {
  private static final String VERSION = "v1";
  private static final int CONFLICT_AUDIT_LIMIT = 100;

  private final HttpTransport transport;

  private ApiClient(HttpTransport transport) {
    this.transport = transport;
  }

  /**
   * Returns a client; it connects only when it is used.
   *
   * @param urls the HTTP or HTTPS URLs of the nodes, at least one
   * @param token the bearer token; null for none
   * @param timeout the timeout of a call, in addition to the answer time of a request
   * @return the client
   * @throws IllegalArgumentException if a URL is malformed
   */
  public static ApiClient connect(List<String> urls, String token, Duration timeout) {
    List<HttpUrl> parsed = urls.stream().map(HttpUrl::get).toList();
    return new ApiClient(new HttpTransport(parsed, token, timeout));
  }

  /**
   * Runs a request. A lost answer gives {@link ResultCode#OUTCOME_UNKNOWN}, an unreachable node
   * {@link ResultCode#CONNECT_FAILED}.
   *
   * @param input the request
   * @return the result
   */
  public Result run(RequestInput input) {
    Duration extraTime = input.answerWithin() == null ? Duration.ZERO : input.answerWithin();
    return sendForResult(
        "POST", List.of("requests"), input, input.team(), input.request().value(), extraTime);
  }

  /**
   * Submits a job. A lost answer gives {@link ResultCode#OUTCOME_UNKNOWN}.
   *
   * @param input the job
   * @return the result, which tells whether the job was accepted
   */
  public Result submit(JobInput input) {
    Duration extraTime = input.acceptWithin() == null ? Duration.ZERO : input.acceptWithin();
    return sendForResult(
        "POST", List.of("jobs"), input, input.team(), input.job().value(), extraTime);
  }

  /**
   * Cancels a job. A lost answer gives {@link ResultCode#OUTCOME_UNKNOWN}.
   *
   * @param job the job
   * @return the result
   */
  public Result cancel(JobKey job) {
    List<String> path = List.of("jobs", job.team().value(), job.job().value());
    return sendForResult("DELETE", path, null, job.team(), job.job().value(), Duration.ZERO);
  }

  /**
   * Lists jobs of a team.
   *
   * @param team the team
   * @param limit the maximum number of jobs to list
   * @return the jobs
   * @throws ApiException if the node refuses or does not answer
   */
  public JobList jobs(TeamId team, int limit) throws ApiException {
    return get(JobList.class, "jobs", "?team=" + team, "?limit=" + limit);
  }

  /**
   * Reads a job.
   *
   * @param job the job
   * @return the job
   * @throws ApiException if the node refuses or does not answer
   */
  public JobView job(JobKey job) throws ApiException {
    return get(JobView.class, "jobs", job.team().value(), job.job().value());
  }

  /**
   * Reads the decisions about a job.
   *
   * @param team the team
   * @param job the job
   * @return the decisions
   * @throws ApiException if the node refuses or does not answer
   */
  public Explanation explainJob(TeamId team, JobId job) throws ApiException {
    return get(Explanation.class, "explain", "jobs", team.value(), job.value());
  }

  /**
   * Reads the decisions about a request.
   *
   * @param team the team
   * @param request the request
   * @return the decisions
   * @throws ApiException if the node refuses or does not answer
   */
  public Explanation explainRequest(TeamId team, RequestId request) throws ApiException {
    return get(Explanation.class, "explain", "requests", team.value(), request.value());
  }

  /**
   * Reads the configuration in force.
   *
   * @return the configuration
   * @throws ApiException if the node refuses or does not answer
   */
  public Configuration configuration() throws ApiException {
    return get(Configuration.class, "config");
  }

  /**
   * Reads one revision of the configuration.
   *
   * @param revision the revision
   * @return the configuration
   * @throws ApiException if the node refuses or does not answer
   */
  public Configuration configuration(long revision) throws ApiException {
    return get(Configuration.class, "config", "revisions", Long.toString(revision));
  }

  /**
   * Validates a configuration on the node without changing anything.
   *
   * @param configuration the configuration
   * @return the problems of the configuration
   * @throws ApiException if the node refuses or does not answer
   */
  public Problems validate(Configuration configuration) throws ApiException {
    return call("POST", List.of("config", "validate"), configuration, Problems.class);
  }

  /**
   * Changes the configuration atomically.
   *
   * @param change the change
   * @return the new revision
   * @throws ConflictException if the configuration was changed since the expected revision
   * @throws ApiException if the node refuses or does not answer; {@link ResultCode#OUTCOME_UNKNOWN}
   *     when the change may have been made
   */
  public long change(ConfigChange change) throws ApiException {
    try {
      return call("PUT", List.of("config"), change, Revision.class).revision();
    } catch (ConflictException e) {
      throw e.conflictingChange().isPresent()
          ? e
          : withConflictingChange(e, change.expectedRevision());
    }
  }

  /** Adds the conflicting change from the audit trail if the node did not send it. */
  private ConflictException withConflictingChange(
      ConflictException conflict, long expectedRevision) {
    try {
      return audit(CONFLICT_AUDIT_LIMIT).entries().stream()
          .filter(e -> e.revision() == expectedRevision + 1)
          .findFirst()
          .map(e -> new ConflictException(conflict.getMessage(), e))
          .orElse(conflict);
    } catch (ApiException e) {
      conflict.addSuppressed(e);
      return conflict;
    }
  }

  /**
   * Reads the audit trail, newest entry first.
   *
   * @param limit the maximum number of entries to read
   * @return the entries
   * @throws ApiException if the node refuses or does not answer
   */
  public AuditTrail audit(int limit) throws ApiException {
    return get(AuditTrail.class, "audit", "?limit=" + limit);
  }

  /**
   * Reads the state of the node.
   *
   * @return the state
   * @throws ApiException if the node refuses or does not answer
   */
  public NodeStatus status() throws ApiException {
    return get(NodeStatus.class, "status");
  }

  /**
   * Reads the bearer token of a team.
   *
   * @param team the team
   * @return the token
   * @throws ApiException if the node refuses or does not answer
   */
  public TeamToken teamToken(TeamId team) throws ApiException {
    return get(TeamToken.class, "team-tokens", team.value());
  }

  /**
   * Reads the metrics of the node.
   *
   * @return the metrics in the text exposition format, one value per line
   * @throws ApiException if the node refuses or does not answer
   */
  public String metrics() throws ApiException {
    return new String(exchange("GET", List.of("metrics"), null).body(), StandardCharsets.UTF_8);
  }

  private <T> T get(Class<T> type, String... path) throws ApiException {
    return call("GET", List.of(path), null, type);
  }

  private <T> T call(String method, List<String> path, Object body, Class<T> type)
      throws ApiException {
    return read(exchange(method, withVersion(path), body), type);
  }

  private HttpReply exchange(String method, List<String> path, Object body) throws ApiException {
    HttpReply reply;
    try {
      reply = transport.send(method, path, toJson(body), Duration.ZERO);
    } catch (NotSentException e) {
      throw new ApiException(ResultCode.CONNECT_FAILED, "no node reached: " + e.getMessage(), e);
    } catch (IOException e) {
      throw new ApiException(ResultCode.OUTCOME_UNKNOWN, "answer lost: " + e.getMessage(), e);
    }
    if (reply.isError()) {
      throw toException(reply);
    }
    return reply;
  }

  private Result sendForResult(
      String method, List<String> path, Object body, TeamId team, String id, Duration extraTime) {
    try {
      HttpReply reply = transport.send(method, withVersion(path), toJson(body), extraTime);
      return requireMatchingId(read(reply, Result.class), team.value(), id);
    } catch (NotSentException e) {
      String detail = "no node reached: " + e.getMessage();
      return Result.of(ResultCode.CONNECT_FAILED, team.value(), id, detail);
    } catch (IOException | ApiException e) {
      String detail = "answer lost: " + e.getMessage();
      return Result.of(ResultCode.OUTCOME_UNKNOWN, team.value(), id, detail);
    }
  }

  private static Result requireMatchingId(Result result, String team, String id)
      throws ApiException {
    boolean withoutId = result.team() == null && result.id() == null;
    boolean matches = Objects.equals(result.team(), team) && Objects.equals(result.id(), id);
    if (matches || (withoutId && result.resultCode() != ResultCode.OK)) {
      return result;
    }
    String actual = result.team() + "/" + result.id();
    throw new ApiException(ResultCode.OUTCOME_UNKNOWN, "the answer belongs to " + actual);
  }

  private static ApiException toException(HttpReply reply) throws ApiException {
    JsonNode tree = read(reply, JsonNode.class);
    if (tree.has("code")) {
      Result result = read(reply, Result.class);
      return result.resultCode() == ResultCode.CONFLICT
          ? new ConflictException(result.detail(), null)
          : new ApiException(result.resultCode(), result.name() + ": " + result.detail());
    }
    if (tree.has("who")) {
      AuditEntry first = read(reply, AuditEntry.class);
      return new ConflictException("revision " + first.revision() + " came first", first);
    }
    return new ApiException(ResultCode.INTERNAL_ERROR, "HTTP status " + reply.status());
  }

  private static <T> T read(HttpReply reply, Class<T> type) throws ApiException {
    try {
      T value = reader(type).readValue(reply.body());
      if (value != null) {
        return value;
      }
    } catch (IOException e) {
      String reason = unreadableBody(reply) + ": " + e.getMessage();
      throw new ApiException(ResultCode.INTERNAL_ERROR, reason, e);
    }
    throw new ApiException(ResultCode.INTERNAL_ERROR, unreadableBody(reply));
  }

  /**
   * Returns a reader that ignores unknown fields sent by newer nodes. For a configuration, unknown
   * fields are an error, since a later change would silently drop them.
   */
  private static ObjectReader reader(Class<?> type) {
    ObjectReader reader =
        Mappers.json().readerFor(type).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    return type == Configuration.class
        ? reader
        : reader.without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  }

  private static String unreadableBody(HttpReply reply) {
    return "HTTP status " + reply.status() + " with a body that does not match this API";
  }

  private static List<String> withVersion(List<String> path) {
    return Stream.concat(Stream.of(VERSION), path.stream()).toList();
  }

  private static byte[] toJson(Object body) {
    if (body == null) {
      return null;
    }
    try {
      return Mappers.json().writeValueAsBytes(body);
    } catch (JsonProcessingException e) {
      throw new IllegalArgumentException("cannot be written as JSON: " + body.getClass(), e);
    }
  }

  private record Revision(long revision) {}
}
