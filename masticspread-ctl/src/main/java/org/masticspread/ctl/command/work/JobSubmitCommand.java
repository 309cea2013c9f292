package org.masticspread.ctl.command.work;

import java.time.Duration;
import java.time.Instant;
import java.util.UUID;
import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.client.JobInput;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.units.MemorySize;
import org.masticspread.model.id.JobId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.work.JobKind;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;
import picocli.CommandLine.Parameters;

@Command(name = "submit", description = "Submit a job; 'accepted' means durably accepted.")
final class JobSubmitCommand extends CtlCommand {
  private static final int MAX_TASKS = 10_000;
  private static final int MAX_ATTEMPTS = 100;
  private static final int MAX_ACCELERATORS = 10_000;
  private static final long MAX_MILLICORES = 1_000_000_000;
  private static final Duration MAX_RUN_TIME = Duration.ofDays(366);
  private static final Duration MAX_ACCEPT_WITHIN = Duration.ofHours(1);

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private ClassFlags names;
  @Mixin private RetryFlags retries;

  @Option(
      names = "--job-id",
      paramLabel = "ID",
      description = "The id of the job; made up when it is missing.")
  private JobId id;

  @Option(
      names = "--kind",
      defaultValue = "BATCH",
      paramLabel = "KIND",
      description = "BATCH (default), SERVICE (runs until stopped) or GANG (all tasks at once).")
  private JobKind kind;

  @Option(
      names = "--tasks",
      defaultValue = "1",
      paramLabel = "N",
      description = "The number of tasks, from 1 to 10000; default 1.")
  private int tasks;

  @Option(
      names = "--millicores",
      defaultValue = "1000",
      paramLabel = "N",
      description = "Processors for each task, in thousandths of a core; default 1000.")
  private long millicores;

  @Option(
      names = "--memory",
      defaultValue = "1GiB",
      paramLabel = "SIZE",
      description = "Memory for each task, such as 512MiB or 2GiB; default 1GiB.")
  private MemorySize memory;

  @Option(
      names = "--accelerators",
      defaultValue = "0",
      paramLabel = "N",
      description = "Whole accelerators for each task; default 0.")
  private int accelerators;

  @Option(
      names = "--run-time",
      paramLabel = "TIME",
      description = "The declared run time of a task, such as 10m.")
  private Duration runTime;

  @Option(
      names = "--deadline",
      paramLabel = "INSTANT",
      description = "When the job must be done, such as 2026-12-05T10:00:00Z.")
  private Instant deadline;

  @Option(
      names = "--idempotent",
      arity = "1",
      paramLabel = "true|false",
      description = "Whether a task may run more than once; that of the work class when missing.")
  private Boolean idempotent;

  @Option(
      names = "--max-attempts",
      paramLabel = "N",
      description = "How often an idempotent task is tried, from 1 to 100.")
  private Integer maxAttempts;

  @Option(
      names = "--accept-within",
      paramLabel = "TIME",
      description = "The time within which the job must be durably accepted, such as 5s.")
  private Duration acceptWithin;

  @Parameters(arity = "0..1", paramLabel = "COMMAND", description = "What the workers run.")
  private String command;

  JobSubmitCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException, InterruptedException {
    checkRanges();
    JobInput input = input();
    ApiClient client = node.client();
    RetryPolicy retryPolicy = retries.policy(context(), acceptWithin);
    return ResultPrinter.print(context(), json, retryPolicy.call(() -> client.submit(input)));
  }

  private void checkRanges() throws UsageException {
    Flags.requireBetween("--tasks", tasks, 1, MAX_TASKS);
    Flags.requireBetween("--millicores", millicores, 0, MAX_MILLICORES);
    Flags.requireBetween("--accelerators", accelerators, 0, MAX_ACCELERATORS);
    Flags.requireBetween("--run-time", runTime, Duration.ofMillis(1), MAX_RUN_TIME);
    Flags.requireBetween("--max-attempts", maxAttempts, 1, MAX_ATTEMPTS);
    Flags.requireBetween("--accept-within", acceptWithin, Duration.ofMillis(1), MAX_ACCEPT_WITHIN);
    if (deadline != null && !deadline.isAfter(context().clock().instant())) {
      throw new UsageException("--deadline", deadline.toString(), "a time to come");
    }
  }

  private JobInput input() {
    return new JobInput(
        names.team(),
        id == null ? JobId.of(UUID.randomUUID().toString()) : id,
        names.workClass(),
        kind,
        tasks,
        new ResourceVector(millicores, memory.bytes(), accelerators),
        runTime,
        deadline,
        idempotent,
        maxAttempts,
        command,
        acceptWithin);
  }
}
