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
 * Calls the HTTP interface of a cell's nodes.
 *
 * <p>Several nodes are tried in order, the next one only when nothing of the call was sent. Nothing
 * is repeated otherwise. Thread-safe.
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
   * Returns a client; connects only when it is used.
   *
   * @param urls the nodes, HTTP or HTTPS URLs, at least one
   * @param token the bearer token; null for none
   * @param timeout the longest time for a call, beyond the answer time of a request
   * @return the client
   * @throws IllegalArgumentException if a URL is malformed
   */
  public static ApiClient connect(List<String> urls, String token, Duration timeout) {
    List<HttpUrl> parsed = urls.stream().map(HttpUrl::get).toList();
    return new ApiClient(new HttpTransport(parsed, token, timeout));
  }

  /**
   * Runs a request. A lost answer gives {@link ResultCode#OUTCOME_UNKNOWN}, a node out of reach
   * {@link ResultCode#CONNECT_FAILED}.
   *
   * @param input the request
   * @return what became of it
   */
  public Result run(RequestInput input) {
    Duration extra = input.answerWithin() == null ? Duration.ZERO : input.answerWithin();
    return act("POST", List.of("requests"), input, input.team(), input.request().value(), extra);
  }

  /**
   * Submits a job. A lost answer gives {@link ResultCode#OUTCOME_UNKNOWN}.
   *
   * @param input the job
   * @return whether it was accepted
   */
  public Result submit(JobInput input) {
    Duration extra = input.acceptWithin() == null ? Duration.ZERO : input.acceptWithin();
    return act("POST", List.of("jobs"), input, input.team(), input.job().value(), extra);
  }

  /**
   * Cancels a job. A lost answer gives {@link ResultCode#OUTCOME_UNKNOWN}.
   *
   * @param job the job
   * @return what became of it
   */
  public Result cancel(JobKey job) {
    List<String> path = List.of("jobs", job.team().value(), job.job().value());
    return act("DELETE", path, null, job.team(), job.job().value(), Duration.ZERO);
  }

  /**
   * Lists jobs of a team.
   *
   * @param team the team
   * @param limit the most jobs to list
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
   * Has a configuration checked; changes nothing.
   *
   * @param configuration the configuration
   * @return its problems
   * @throws ApiException if the node refuses or does not answer
   */
  public Problems validate(Configuration configuration) throws ApiException {
    return call("POST", List.of("config", "validate"), configuration, Problems.class);
  }

  /**
   * Changes the configuration, whole or not at all.
   *
   * @param change the change
   * @return the new revision
   * @throws ConflictException if another change came first
   * @throws ApiException if the node refuses or does not answer; {@link ResultCode#OUTCOME_UNKNOWN}
   *     when the change may have been made
   */
  public long change(ConfigChange change) throws ApiException {
    try {
      return call("PUT", List.of("config"), change, Revision.class).revision();
    } catch (ConflictException e) {
      throw e.first().isPresent() ? e : withFirst(e, change.expectedRevision());
    }
  }

  /** Looks the change that came first up in the audit trail, when the node did not send it. */
  private ConflictException withFirst(ConflictException conflict, long expectedRevision) {
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
   * Reads the audit trail, newest first.
   *
   * @param limit the most entries to read
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
   * @return the text that scrapers read, one line a value
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
      throw refusal(reply);
    }
    return reply;
  }

  private Result act(
      String method, List<String> path, Object body, TeamId team, String id, Duration extra) {
    try {
      HttpReply reply = transport.send(method, withVersion(path), toJson(body), extra);
      return ownResult(read(reply, Result.class), team.value(), id);
    } catch (NotSentException e) {
      String detail = "no node reached: " + e.getMessage();
      return Result.of(ResultCode.CONNECT_FAILED, team.value(), id, detail);
    } catch (IOException | ApiException e) {
      String detail = "answer lost: " + e.getMessage();
      return Result.of(ResultCode.OUTCOME_UNKNOWN, team.value(), id, detail);
    }
  }

  private static Result ownResult(Result result, String team, String id) throws ApiException {
    boolean nameless = result.team() == null && result.id() == null;
    boolean own = Objects.equals(result.team(), team) && Objects.equals(result.id(), id);
    if (own || (nameless && result.resultCode() != ResultCode.OK)) {
      return result;
    }
    String other = result.team() + "/" + result.id();
    throw new ApiException(ResultCode.OUTCOME_UNKNOWN, "the answer is that of " + other);
  }

  private static ApiException refusal(HttpReply reply) throws ApiException {
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
      String reason = unreadable(reply) + ": " + e.getMessage();
      throw new ApiException(ResultCode.INTERNAL_ERROR, reason, e);
    }
    throw new ApiException(ResultCode.INTERNAL_ERROR, unreadable(reply));
  }

  /** Skips fields of newer nodes, but in a configuration, where a later change would drop them. */
  private static ObjectReader reader(Class<?> type) {
    ObjectReader reader =
        Mappers.json().readerFor(type).with(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);
    return type == Configuration.class
        ? reader
        : reader.without(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES);
  }

  private static String unreadable(HttpReply reply) {
    return "HTTP status " + reply.status() + " with a body that is not of this interface";
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
      throw new IllegalArgumentException("not writable as JSON: " + body.getClass(), e);
    }
  }

  private record Revision(long revision) {}
}
