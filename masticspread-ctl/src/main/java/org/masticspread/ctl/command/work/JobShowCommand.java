package org.masticspread.ctl.command.work;

import java.time.Duration;
import java.time.Instant;
import org.masticspread.ctl.client.ApiClient;
import org.masticspread.ctl.command.CtlCommand;
import org.masticspread.ctl.command.CtlContext;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.JsonFlag;
import org.masticspread.ctl.command.NodeFlags;
import org.masticspread.ctl.output.Table;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.result.MasticspreadException;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobView;
import picocli.CommandLine.Command;
import picocli.CommandLine.Mixin;
import picocli.CommandLine.Option;

@Command(name = "show", description = "Show a job and its tasks.")
final class JobShowCommand extends CtlCommand {
  private static final Duration POLL_INTERVAL = Duration.ofMillis(500);
  private static final Duration MAX_WAIT = Duration.ofDays(7);

  @Mixin private NodeFlags node;
  @Mixin private JsonFlag json;
  @Mixin private JobName name;

  @Option(
      names = "--wait",
      paramLabel = "TIME",
      description = "Wait up to this time for the job to end, such as 30s.")
  private Duration wait;

  JobShowCommand(CtlContext context) {
    super(context);
  }

  @Override
  protected ExitCode run() throws MasticspreadException, InterruptedException {
    Flags.requireBetween("--wait", wait, Duration.ZERO, MAX_WAIT);
    JobKey key = name.key();
    JobView job = read(node.client(), key);
    json.print(context(), job, () -> print(job));
    return exitCode(job.phase());
  }

  private JobView read(ApiClient client, JobKey key)
      throws MasticspreadException, InterruptedException {
    Instant now = context().clock().instant();
    Instant end = wait == null ? now : now.plus(wait);
    JobView job = client.job(key);
    while (!job.phase().isTerminal() && context().clock().instant().isBefore(end)) {
      context().pause().sleep(POLL_INTERVAL);
      job = client.job(key);
    }
    return job;
  }

  private static ExitCode exitCode(JobPhase phase) {
    return switch (phase) {
      case FAILED -> ExitCode.FAILED;
      case UNKNOWN -> ExitCode.UNKNOWN;
      default -> ExitCode.OK;
    };
  }

  private void print(JobView job) {
    context().out().println(job.spec().key() + ": " + job.phase() + reason(job.reason()));
    Table table = Table.of("TASK", "PHASE", "ATTEMPT", "WORKER", "REASON");
    job.tasks().forEach(t -> table.row(t.index(), t.phase(), t.attempt(), t.worker(), t.reason()));
    table.print(context().out());
  }

  private static String reason(String reason) {
    return reason == null || reason.isEmpty() ? "" : ", " + reason;
  }
}
