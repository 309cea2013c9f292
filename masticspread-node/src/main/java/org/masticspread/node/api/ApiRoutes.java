package org.masticspread.node.api;

import com.codahale.metrics.MetricRegistry;
import io.jooby.Context;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.masticspread.codec.InputReader;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.peer.JobAnswered;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.RequestSpec;

/** Routes of the HTTP interface; {@code docs/API.md} describes them. */
public final class ApiRoutes {
  private static final int DEFAULT_LIMIT = 100;
  private static final int MAX_LIMIT = 1_000;

  /** Handler of a call. */
  @FunctionalInterface
  interface Call {
    CompletionStage<Reply> answer(Context ctx, byte[] body) throws MasticspreadException;
  }

  /** Registers the handler of a route. */
  @FunctionalInterface
  interface RouteRegistrar {
    void register(String method, String path, Call call);
  }

  /**
   * Services that the routes use.
   *
   * @param requests the service that runs requests
   * @param jobs the service that accepts, reads and cancels jobs
   * @param config the service that reads and changes the configuration
   * @param status the service that reports the status of the cell
   * @param tokens the tokens of callers
   * @param metrics the registry of metrics that is served for scraping
   * @param clock the clock
   * @param longestAnswer the maximum time until a request is answered
   */
  public record Services(
      RequestService requests,
      JobService jobs,
      ConfigService config,
      StatusService status,
      Tokens tokens,
      MetricRegistry metrics,
      InstantSource clock,
      Duration longestAnswer) {}

  private final Services services;
  private final InputParser parser;

  /**
   * Creates the routes.
   *
   * @param services the services that they use
   */
  public ApiRoutes(Services services) {
    this.services = services;
    this.parser = new InputParser(services.clock(), services.longestAnswer());
  }

  void registerAll(RouteRegistrar registrar) {
    registrar.register("POST", "/v1/requests", this::runRequest);
    registrar.register("POST", "/v1/jobs", this::submitJob);
    registrar.register("GET", "/v1/jobs", this::listJobs);
    registrar.register("GET", "/v1/jobs/{team}/{job}", this::readJob);
    registrar.register("DELETE", "/v1/jobs/{team}/{job}", this::cancelJob);
    registrar.register("GET", "/v1/explain/jobs/{team}/{id}", (ctx, b) -> explain(ctx, "job"));
    registrar.register(
        "GET", "/v1/explain/requests/{team}/{id}", (ctx, b) -> explain(ctx, "request"));
    registrar.register("GET", "/v1/config", this::showConfig);
    registrar.register("GET", "/v1/config/revisions/{n}", this::showRevision);
    registrar.register("POST", "/v1/config/validate", this::validateConfig);
    registrar.register("PUT", "/v1/config", this::applyConfig);
    registrar.register("GET", "/v1/audit", this::showAudit);
    registrar.register("GET", "/v1/status", this::showStatus);
    registrar.register("GET", "/v1/team-tokens/{team}", this::showTeamToken);
    registrar.register("GET", "/metrics", this::showMetrics);
    registrar.register(
        "GET", "/health/live", (ctx, b) -> completed(Reply.ok(Map.of("live", true))));
    registrar.register("GET", "/health/ready", this::showReady);
  }

  private CompletionStage<Reply> runRequest(Context ctx, byte[] body) throws MasticspreadException {
    Tokens.Caller caller = caller(ctx);
    RequestInput input = parser.requestInput(body);
    requireTeam(caller, InputParser.name("team", input.team()));
    RequestSpec request = parser.request(input, services.config().inForce());
    return services.requests().run(request).thenApply(a -> Reply.of(ResultBody.of(a)));
  }

  private CompletionStage<Reply> submitJob(Context ctx, byte[] body) throws MasticspreadException {
    Tokens.Caller caller = caller(ctx);
    JobInput input = parser.jobInput(body);
    requireTeam(caller, InputParser.name("team", input.team()));
    InputParser.JobSubmission job = parser.job(input, services.config().inForce());
    return services
        .jobs()
        .submit(job.spec(), job.acceptBy())
        .thenApply(a -> Reply.of(ResultBody.of(job.spec().key(), a)));
  }

  private CompletionStage<Reply> listJobs(Context ctx, byte[] body) throws MasticspreadException {
    Tokens.Caller caller = caller(ctx);
    String text = ctx.query("team").valueOrNull();
    TeamId team = text == null ? caller.team() : TeamId.of(InputParser.name("team", text));
    if (team != null) {
      requireTeam(caller, team.value());
    }
    return services.jobs().list(team, limit(ctx)).thenApply(jobs -> Reply.ok(Map.of("jobs", jobs)));
  }

  private CompletionStage<Reply> readJob(Context ctx, byte[] body) throws MasticspreadException {
    JobKey key = jobKey(ctx);
    return services.jobs().read(key).thenApply(a -> jobReply(key, a));
  }

  private static Reply jobReply(JobKey key, JobAnswered answered) {
    return answered.code() == ResultCode.OK
        ? Reply.ok(answered.job())
        : Reply.of(ResultBody.of(key, answered));
  }

  private CompletionStage<Reply> cancelJob(Context ctx, byte[] body) throws MasticspreadException {
    JobKey key = jobKey(ctx);
    return services
        .jobs()
        .cancel(key, services.clock().instant().plus(InputParser.DEFAULT_ACCEPT_WITHIN))
        .thenApply(a -> Reply.of(ResultBody.of(key, a)));
  }

  private JobKey jobKey(Context ctx) throws MasticspreadException {
    String team = InputParser.name("team", ctx.path("team").value());
    requireTeam(caller(ctx), team);
    return new JobKey(TeamId.of(team), JobId.of(InputParser.name("job", ctx.path("job").value())));
  }

  private CompletionStage<Reply> explain(Context ctx, String kind) throws MasticspreadException {
    String team = InputParser.name("team", ctx.path("team").value());
    requireTeam(caller(ctx), team);
    String subject = kind + ":" + team + "/" + InputParser.name("id", ctx.path("id").value());
    return services
        .status()
        .explain(subject)
        .thenApply(lines -> Reply.ok(Map.of("subject", subject, "lines", lines)));
  }

  private CompletionStage<Reply> showConfig(Context ctx, byte[] body) throws MasticspreadException {
    requireOperator(ctx);
    return completed(Reply.ok(services.config().inForce()));
  }

  private CompletionStage<Reply> showRevision(Context ctx, byte[] body)
      throws MasticspreadException {
    requireOperator(ctx);
    long revision = wholeNumber("n", ctx.path("n").value(), 0, Long.MAX_VALUE);
    return completed(Reply.ok(services.config().revision(revision)));
  }

  private CompletionStage<Reply> validateConfig(Context ctx, byte[] body)
      throws MasticspreadException {
    requireOperator(ctx);
    Configuration configuration = InputReader.json().read(body, Configuration.class);
    return completed(Reply.ok(Map.of("problems", services.config().problems(configuration))));
  }

  private CompletionStage<Reply> applyConfig(Context ctx, byte[] body)
      throws MasticspreadException {
    Tokens.Caller operator = requireOperator(ctx);
    ConfigInput input = InputReader.json().read(body, ConfigInput.class);
    if (input.expectedRevision() == null) {
      throw new InvalidFieldException("expectedRevision", "", "the revision you changed");
    }
    if (input.configuration() == null) {
      throw new InvalidFieldException("configuration", "", "a complete configuration");
    }
    String what = input.what() == null ? "configuration applied" : input.what();
    long revision =
        services
            .config()
            .apply(input.expectedRevision(), input.configuration(), operator.name(), what);
    return completed(Reply.ok(Map.of("revision", revision)));
  }

  private CompletionStage<Reply> showAudit(Context ctx, byte[] body) throws MasticspreadException {
    requireOperator(ctx);
    return completed(Reply.ok(Map.of("entries", services.config().audit(limit(ctx)))));
  }

  private CompletionStage<Reply> showStatus(Context ctx, byte[] body) throws MasticspreadException {
    requireOperator(ctx);
    return completed(Reply.ok(services.status().status()));
  }

  private CompletionStage<Reply> showTeamToken(Context ctx, byte[] body)
      throws MasticspreadException {
    requireOperator(ctx);
    TeamId team = TeamId.of(InputParser.name("team", ctx.path("team").value()));
    if (services.config().inForce().team(team).isEmpty()) {
      throw new InvalidFieldException(
          ResultCode.NOT_FOUND, "team", team.value(), "a team that is in force");
    }
    return completed(Reply.ok(Map.of("team", team, "token", services.tokens().ofTeam(team))));
  }

  private CompletionStage<Reply> showMetrics(Context ctx, byte[] body)
      throws MasticspreadException {
    requireOperator(ctx);
    byte[] text = MetricsText.of(services.metrics()).getBytes(StandardCharsets.UTF_8);
    return completed(new Reply(200, "text/plain", text, null));
  }

  private CompletionStage<Reply> showReady(Context ctx, byte[] body) {
    boolean ready = services.status().isReady();
    Reply reply = Reply.ok(Map.of("ready", ready));
    return completed(ready ? reply : new Reply(503, reply.contentType(), reply.body(), null));
  }

  private Tokens.Caller caller(Context ctx) throws MasticspreadException {
    return services
        .tokens()
        .callerOf(ctx.header("Authorization").valueOrNull())
        .orElseThrow(
            () ->
                new MasticspreadException(
                    ResultCode.UNAUTHORIZED, "Authorization: a known bearer token is required"));
  }

  private static void requireTeam(Tokens.Caller caller, String team) throws MasticspreadException {
    if (!caller.mayActFor(TeamId.of(team))) {
      throw new MasticspreadException(
          ResultCode.FORBIDDEN, "team: the token does not act for team " + team);
    }
  }

  private Tokens.Caller requireOperator(Context ctx) throws MasticspreadException {
    Tokens.Caller caller = caller(ctx);
    if (!caller.isOperator()) {
      throw new MasticspreadException(ResultCode.FORBIDDEN, "only operators may do this");
    }
    return caller;
  }

  private static int limit(Context ctx) throws InvalidFieldException {
    String text = ctx.query("limit").valueOrNull();
    return text == null ? DEFAULT_LIMIT : (int) wholeNumber("limit", text, 1, MAX_LIMIT);
  }

  private static long wholeNumber(String field, String text, long min, long max)
      throws InvalidFieldException {
    String allowed = "a whole number from " + min + " to " + max;
    try {
      long value = Long.parseLong(text);
      if (value >= min && value <= max) {
        return value;
      }
    } catch (NumberFormatException e) {
      throw new InvalidFieldException(field, text, allowed);
    }
    throw new InvalidFieldException(field, text, allowed);
  }

  private static CompletionStage<Reply> completed(Reply reply) {
    return CompletableFuture.completedFuture(reply);
  }
}
