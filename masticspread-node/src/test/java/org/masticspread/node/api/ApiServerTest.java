package org.masticspread.node.api;

import static org.assertj.core.api.Assertions.assertThat;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.codec.Mappers;
import org.masticspread.model.config.AuditEntry;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.peer.Decision;
import org.masticspread.model.peer.JobAnswered;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.Answer;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.Urgency;
import org.masticspread.node.settings.HostPort;

class ApiServerTest {
  private static final Instant NOW = Instant.parse("2026-12-04T10:00:00Z");
  private static final int BODY_LIMIT = 4_096;
  private static final String OPERATOR = "operator-token-0001";
  private static final Tokens TOKENS = new Tokens(Map.of(OPERATOR, "anna"), "cluster-key-000001");
  private static final String TEAM = TOKENS.ofTeam(TeamId.of("desk"));
  private static final String OTHER = TOKENS.ofTeam(TeamId.of("other"));
  private static final Configuration CONFIG =
      new Configuration(
          3,
          List.of(new PoolConfig(PoolId.of("pool"), List.of(), false)),
          List.of(new TeamConfig(TeamId.of("desk"), PoolId.of("pool"), 1, 0.5, null, false)),
          List.of(
              new WorkClassConfig(
                  TeamId.of("desk"),
                  WorkClassId.of("orders"),
                  Urgency.URGENT,
                  false,
                  1,
                  Duration.ofSeconds(2),
                  1,
                  10,
                  1_000,
                  false)),
          List.of(),
          List.of());
  private static final String SIZE =
      "\"perTask\":{\"millicores\":500,\"memoryBytes\":1024,\"accelerators\":0}";
  private static final String JOB =
      "{\"team\":\"desk\",\"workClass\":\"orders\",\"kind\":\"BATCH\",\"tasks\":1,";

  private static ExecutorService executor;
  private static ApiServer server;
  private static HttpClient client;

  @BeforeAll
  static void listen() throws IOException {
    executor = Executors.newFixedThreadPool(4);
    client = HttpClient.newHttpClient();
    ApiRoutes routes =
        new ApiRoutes(
            new ApiRoutes.Services(
                r ->
                    completed(Answer.ok(r.key(), Payload.ofText("answer to " + r.body().asText()))),
                new FakeJobs(),
                new FakeConfig(),
                new FakeStatus(),
                TOKENS,
                new MetricRegistry(),
                InstantSource.fixed(NOW),
                Duration.ofMinutes(1)));
    server =
        ApiServer.with(routes, new MetricRegistry())
            .limits(BODY_LIMIT)
            .listen(new HostPort("127.0.0.1", freePort()), executor);
  }

  private static int freePort() throws IOException {
    try (var socket = new java.net.ServerSocket(0)) {
      return socket.getLocalPort();
    }
  }

  @AfterAll
  static void close() {
    server.close();
    executor.shutdownNow();
  }

  private static <T> CompletionStage<T> completed(T value) {
    return CompletableFuture.completedFuture(value);
  }

  private record ApiResponse(int status, JsonNode body) {}

  private static ApiResponse call(String method, String path, String token, String body)
      throws Exception {
    HttpRequest.Builder request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + server.port() + path))
            .timeout(Duration.ofSeconds(30))
            .method(method, HttpRequest.BodyPublishers.ofString(body == null ? "" : body));
    Optional.ofNullable(token).ifPresent(t -> request.header("Authorization", "Bearer " + t));
    HttpResponse<String> answer =
        client.send(request.build(), HttpResponse.BodyHandlers.ofString());
    return new ApiResponse(answer.statusCode(), Mappers.json().readTree(answer.body()));
  }

  @Nested
  class RunRequest {
    @Test
    void should_return_the_answer_of_the_endpoint() throws Exception {
      // WHEN
      ApiResponse response =
          call(
              "POST",
              "/v1/requests",
              TEAM,
              "{\"team\":\"desk\",\"workClass\":\"orders\",\"request\":\"r1\",\"body\":\"x\"}");
      // THEN
      assertThat(response.status()).isEqualTo(200);
      assertThat(response.body().get("body").asText()).isEqualTo("answer to x");
      assertThat(response.body().get("id").asText()).isEqualTo("r1");
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "{                                                            | 400 | 100 | body",
          "[]                                                           | 400 | 100 | body",
          "{\"team\":\"desk\",\"workClass\":\"orders\",\"x\":1}         | 400 | 100 | x",
          "{\"workClass\":\"orders\"}                                   | 400 | 100 | team",
          "{\"team\":\"a b\",\"workClass\":\"orders\"}                  | 400 | 100 | team",
          "{\"team\":\"desk\"}                                          | 400 | 100 | workClass",
          "{\"team\":\"desk\",\"workClass\":\"none\"}                   | 404 | 103 | workClass",
          "{\"team\":\"desk\",\"workClass\":\"orders\",\"request\":\" \"}"
              + "| 400 | 100 | request",
          "{\"team\":\"desk\",\"workClass\":\"orders\",\"answerWithin\":\"2s\"}"
              + "| 400 | 100 | answerWithin",
          "{\"team\":\"desk\",\"workClass\":\"orders\",\"answerWithin\":\"PT-1S\"}"
              + "| 422 | 107 | answerWithin",
          "{\"team\":\"desk\",\"workClass\":\"orders\",\"answerWithin\":\"PT2M\"}"
              + "| 400 | 100 | answerWithin",
        })
    void should_name_the_invalid_field(String body, int status, int code, String field)
        throws Exception {
      // WHEN
      ApiResponse response = call("POST", "/v1/requests", OPERATOR, body);
      // THEN
      assertThat(response.status()).isEqualTo(status);
      assertThat(response.body().get("code").asInt()).isEqualTo(code);
      assertThat(response.body().get("field").asText()).isEqualTo(field);
      assertThat(response.body().get("runState").asText()).isEqualTo("NOT_RUN");
    }

    @Test
    void should_reject_a_body_over_the_limit() throws Exception {
      // WHEN
      ApiResponse response = call("POST", "/v1/requests", TEAM, "x".repeat(BODY_LIMIT + 1));
      // THEN
      assertThat(response.status()).isEqualTo(413);
      assertThat(response.body().get("code").asInt()).isEqualTo(ResultCode.TOO_LARGE.number());
    }

    @Test
    void should_reject_a_header_over_the_limit() throws Exception {
      assertThat(call("GET", "/v1/status", "t".repeat(5_000), null).status()).isEqualTo(413);
    }
  }

  @Nested
  class SubmitJob {
    @Test
    void should_accept_a_job() throws Exception {
      // WHEN
      ApiResponse response = call("POST", "/v1/jobs", TEAM, JOB + SIZE + "}");
      // THEN
      assertThat(response.status()).isEqualTo(202);
      assertThat(response.body().get("name").asText()).isEqualTo("ACCEPTED");
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "'\"tasks\":1'   | '\"tasks\":0'        | 400 | tasks",
          "'\"tasks\":1'   | '\"tasks\":-5'       | 400 | tasks",
          "'\"tasks\":1'   | '\"tasks\":10001'    | 400 | tasks",
          "'\"tasks\":1'   | '\"tasks\":\"many\"' | 400 | tasks",
          "BATCH           | SOLO                 | 400 | kind",
          "'millicores\":500' | 'millicores\":0'  | 400 | perTask.millicores",
          "'millicores\":500' | 'millicores\":-1' | 400 | perTask",
          "'millicores\":500' | 'millicores\":\"2 cores\"' | 400 | perTask.millicores",
          "'memoryBytes\":1024' | 'memoryBytes\":9e18'     | 400 | perTask.memoryBytes",
          "'memoryBytes\":1024' | 'memoryBytes\":2000000000000000' | 400 | perTask.memoryBytes",
          "'accelerators\":0' | 'accelerators\":99999'     | 400 | perTask.accelerators",
          "'accelerators\":0' | 'accelerators\":0.5'       | 400 | perTask.accelerators",
          "'\"tasks\":1' | '\"tasks\":1,\"deadline\":\"2026-12-04T09:59:59Z\"' | 422 | deadline",
          "'\"tasks\":1' | '\"tasks\":1,\"deadline\":\"tomorrow\"'   | 400 | deadline",
          "'\"tasks\":1' | '\"tasks\":1,\"maxAttempts\":0'           | 400 | maxAttempts",
          "'\"tasks\":1' | '\"tasks\":1,\"declaredRunTime\":\"PT-1S\"' | 400 | declaredRunTime",
          "'\"tasks\":1' | '\"tasks\":1,\"acceptWithin\":\"P1D\"'    | 400 | acceptWithin",
        })
    void should_name_the_invalid_field(String valid, String invalid, int status, String field)
        throws Exception {
      // WHEN
      ApiResponse response =
          call("POST", "/v1/jobs", TEAM, (JOB + SIZE + "}").replace(valid, invalid));
      // THEN
      assertThat(response.status()).isEqualTo(status);
      assertThat(response.body().get("field").asText()).isEqualTo(field);
    }
  }

  @Nested
  class Authorization {
    @ParameterizedTest
    @CsvSource({
      "GET,  /v1/status,             none,     401",
      "GET,  /v1/status,             wrong,    401",
      "GET,  /v1/status,             team,     403",
      "GET,  /v1/config,             team,     403",
      "PUT,  /v1/config,             team,     403",
      "GET,  /v1/audit,              team,     403",
      "GET,  /v1/team-tokens/desk,   team,     403",
      "GET,  /metrics,               none,     401",
      "GET,  /v1/jobs/desk/j,        other,    403",
      "DELETE, /v1/jobs/desk/j,      other,    403",
      "GET,  /v1/jobs?team=desk,     other,    403",
      "GET,  /v1/explain/jobs/desk/j, other,   403",
      "GET,  /v1/status,             operator, 200",
      "GET,  /v1/config,             operator, 200",
      "GET,  /v1/team-tokens/desk,   operator, 200",
      "GET,  /v1/team-tokens/none,   operator, 404",
      "GET,  /v1/jobs?team=desk,     team,     200",
      "GET,  /v1/jobs?limit=0,       team,     400",
      "GET,  /v1/nothing,            operator, 404",
      "GET,  /health/live,           none,     200",
      "GET,  /health/ready,          none,     503",
    })
    void should_admit_only_authorised_callers(String method, String path, String who, int status)
        throws Exception {
      // GIVEN
      Map<String, String> tokens =
          Map.of("wrong", "desk.0000", "team", TEAM, "other", OTHER, "operator", OPERATOR);
      // WHEN
      ApiResponse response = call(method, path, tokens.get(who), "{}");
      // THEN
      assertThat(response.status()).isEqualTo(status);
    }
  }

  private static final class FakeJobs implements JobService {
    @Override
    public CompletionStage<JobAnswered> submit(JobSpec job, Instant acceptBy) {
      return completed(new JobAnswered(ResultCode.ACCEPTED, null, ""));
    }

    @Override
    public CompletionStage<JobAnswered> read(JobKey job) {
      return completed(new JobAnswered(ResultCode.NOT_FOUND, null, "job: no job " + job));
    }

    @Override
    public CompletionStage<JobAnswered> cancel(JobKey job, Instant acceptBy) {
      return read(job);
    }

    @Override
    public CompletionStage<List<JobView>> list(TeamId team, int limit) {
      return completed(List.of());
    }
  }

  private static final class FakeConfig implements ConfigService {
    @Override
    public Configuration inForce() {
      return CONFIG;
    }

    @Override
    public Configuration revision(long revision) {
      return CONFIG;
    }

    @Override
    public List<Problem> problems(Configuration configuration) {
      return List.of();
    }

    @Override
    public long apply(long expected, Configuration configuration, String who, String what)
        throws MasticspreadException {
      throw new MasticspreadException(ResultCode.CONFLICT, "revision 4 by bert came first");
    }

    @Override
    public List<AuditEntry> audit(int limit) {
      return List.of();
    }
  }

  private static final class FakeStatus implements StatusService {
    @Override
    public Status status() {
      return new Status(VmId.of("vm-1"), false, 3, 0, 32, List.of());
    }

    @Override
    public boolean isReady() {
      return false;
    }

    @Override
    public CompletionStage<List<Decision>> explain(String subject) {
      return completed(List.of());
    }
  }
}
