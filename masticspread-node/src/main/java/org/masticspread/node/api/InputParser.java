package org.masticspread.node.api;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.UUID;
import org.masticspread.codec.InputReader;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.id.ClassKey;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.Names;
import org.masticspread.model.id.RequestId;
import org.masticspread.model.id.RequestKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.RequestSpec;

/** Parses the bodies of calls into requests and jobs and validates every field. */
final class InputParser {
  static final Duration DEFAULT_ACCEPT_WITHIN = Duration.ofSeconds(10);
  private static final Duration MAX_ACCEPT_WITHIN = Duration.ofMinutes(5);
  private static final Duration MAX_RUN_TIME = Duration.ofDays(365);
  private static final int MAX_TASKS = 10_000;
  private static final int MAX_ATTEMPTS = 100;
  private static final int DEFAULT_ATTEMPTS = 3;
  private static final long MAX_MILLICORES = 10_000_000L;
  private static final long MAX_MEMORY_BYTES = 1L << 50;
  private static final int MAX_ACCELERATORS = 10_000;

  private final InstantSource clock;
  private final Duration longestAnswer;

  InputParser(InstantSource clock, Duration longestAnswer) {
    this.clock = clock;
    this.longestAnswer = longestAnswer;
  }

  /**
   * Validated job with the deadline of its acceptance.
   *
   * @param spec the job
   * @param acceptBy the deadline for the store to accept the job
   */
  record JobSubmission(JobSpec spec, Instant acceptBy) {}

  RequestInput requestInput(byte[] body) throws InvalidFieldException {
    return InputReader.json().read(body, RequestInput.class);
  }

  JobInput jobInput(byte[] body) throws InvalidFieldException {
    return InputReader.json().read(body, JobInput.class);
  }

  RequestSpec request(RequestInput input, Configuration configuration)
      throws InvalidFieldException {
    WorkClassConfig workClass =
        workClass(configuration, name("team", input.team()), name("workClass", input.workClass()));
    String id = input.request() == null ? generatedId() : name("request", input.request());
    Duration within = answerWithin(input.answerWithin(), workClass);
    Payload body = input.body() == null ? Payload.EMPTY : Payload.ofText(input.body());
    return new RequestSpec(
        new RequestKey(workClass.team(), RequestId.of(id)),
        workClass.name(),
        workClass.urgency(),
        workClass.idempotent(),
        clock.instant().plus(within),
        body);
  }

  JobSubmission job(JobInput input, Configuration configuration) throws InvalidFieldException {
    WorkClassConfig workClass =
        workClass(configuration, name("team", input.team()), name("workClass", input.workClass()));
    String id = input.job() == null ? generatedId() : name("job", input.job());
    Instant now = clock.instant();
    JobKind kind = required("kind", input.kind(), "BATCH, SERVICE or GANG");
    Duration runTime =
        time("declaredRunTime", input.declaredRunTime(), Duration.ZERO, MAX_RUN_TIME);
    JobSpec spec =
        new JobSpec(
            new JobKey(workClass.team(), JobId.of(id)),
            workClass.name(),
            kind,
            workClass.urgency(),
            number("tasks", input.tasks(), 1, MAX_TASKS),
            size(input.perTask()),
            runTime,
            deadline(input.deadline(), now),
            input.idempotent() == null ? workClass.idempotent() : input.idempotent(),
            input.maxAttempts() == null
                ? DEFAULT_ATTEMPTS
                : number("maxAttempts", input.maxAttempts(), 1, MAX_ATTEMPTS),
            input.command() == null ? Payload.EMPTY : Payload.ofText(input.command()));
    Duration acceptWithin =
        time("acceptWithin", input.acceptWithin(), DEFAULT_ACCEPT_WITHIN, MAX_ACCEPT_WITHIN);
    return new JobSubmission(spec, now.plus(acceptWithin));
  }

  static String name(String field, String text) throws InvalidFieldException {
    if (!Names.isValid(text)) {
      throw new InvalidFieldException(field, String.valueOf(text), Names.RULE);
    }
    return text;
  }

  private static String generatedId() {
    return UUID.randomUUID().toString();
  }

  private static WorkClassConfig workClass(Configuration configuration, String team, String name)
      throws InvalidFieldException {
    TeamConfig teamConfig =
        configuration
            .team(TeamId.of(team))
            .filter(t -> !t.retired())
            .orElseThrow(
                () ->
                    new InvalidFieldException(
                        ResultCode.NOT_FOUND, "team", team, "a team that is in force"));
    requirePool(configuration, teamConfig);
    return configuration
        .workClass(new ClassKey(teamConfig.name(), WorkClassId.of(name)))
        .filter(c -> !c.retired())
        .orElseThrow(
            () ->
                new InvalidFieldException(
                    ResultCode.NOT_FOUND, "workClass", name, "a work class of team " + team));
  }

  private static void requirePool(Configuration configuration, TeamConfig team)
      throws InvalidFieldException {
    boolean poolInForce =
        configuration.pools().stream()
            .filter(p -> p.name().equals(team.pool()))
            .anyMatch(p -> !p.retired());
    if (!poolInForce) {
      throw new InvalidFieldException(
          ResultCode.NOT_FOUND, "team", team.name().value(), "a team whose pool is not retired");
    }
  }

  private Duration answerWithin(Duration given, WorkClassConfig workClass)
      throws InvalidFieldException {
    if (given == null) {
      Duration ofClass = workClass.answerWithin();
      return ofClass.compareTo(longestAnswer) < 0 ? ofClass : longestAnswer;
    }
    return answerWithin(given);
  }

  private Duration answerWithin(Duration within) throws InvalidFieldException {
    if (within.isNegative() || within.isZero()) {
      throw new InvalidFieldException(
          ResultCode.DEADLINE_PASSED, "answerWithin", within.toString(), "a time above zero");
    }
    if (within.compareTo(longestAnswer) > 0) {
      throw new InvalidFieldException(
          "answerWithin", within.toString(), "a time up to " + longestAnswer);
    }
    return within;
  }

  private static Instant deadline(Instant deadline, Instant now) throws InvalidFieldException {
    if (deadline != null && !deadline.isAfter(now)) {
      throw new InvalidFieldException(
          ResultCode.DEADLINE_PASSED, "deadline", deadline.toString(), "a time after " + now);
    }
    return deadline;
  }

  private static ResourceVector size(ResourceVector size) throws InvalidFieldException {
    ResourceVector given = required("perTask", size, "millicores, memoryBytes and accelerators");
    if (given.millicores() < 1 || given.millicores() > MAX_MILLICORES) {
      throw new InvalidFieldException(
          "perTask.millicores", "" + given.millicores(), "1 to " + MAX_MILLICORES + " millicores");
    }
    if (given.memoryBytes() < 1 || given.memoryBytes() > MAX_MEMORY_BYTES) {
      throw new InvalidFieldException(
          "perTask.memoryBytes", "" + given.memoryBytes(), "1 to " + MAX_MEMORY_BYTES + " bytes");
    }
    if (given.accelerators() > MAX_ACCELERATORS) {
      throw new InvalidFieldException(
          "perTask.accelerators", "" + given.accelerators(), "0 to " + MAX_ACCELERATORS);
    }
    return given;
  }

  private static <T> T required(String field, T value, String allowed)
      throws InvalidFieldException {
    if (value == null) {
      throw new InvalidFieldException(field, "", allowed);
    }
    return value;
  }

  private static int number(String field, Integer value, int min, int max)
      throws InvalidFieldException {
    String allowed = "a whole number from " + min + " to " + max;
    int given = required(field, value, allowed);
    if (given < min || given > max) {
      throw new InvalidFieldException(field, "" + given, allowed);
    }
    return given;
  }

  private static Duration time(String field, Duration value, Duration defaultValue, Duration max)
      throws InvalidFieldException {
    if (value == null) {
      return defaultValue;
    }
    if (value.isNegative() || value.compareTo(max) > 0) {
      throw new InvalidFieldException(field, value.toString(), "a time from PT0S to " + max);
    }
    return value;
  }
}
