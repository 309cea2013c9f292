package org.masticspread.ctl.command.entity;

import java.time.Duration;
import org.masticspread.ctl.command.Flags;
import org.masticspread.ctl.command.UsageException;
import org.masticspread.ctl.units.MemorySize;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.work.Urgency;
import picocli.CommandLine.Option;

/** The flags for the fields of a work class. */
final class WorkClassFlags implements EntityFlags<WorkClassConfig> {
  private static final Duration MAX_ANSWER_WITHIN = Duration.ofHours(1);
  private static final int MAX_RATE_PER_SECOND = 1_000_000;
  private static final int MAX_QUEUE = 1_000_000;
  private static final int DEFAULT_QUEUE = 1000;
  private static final long DEFAULT_QUEUE_BYTES = 16L << 20;

  @Option(
      names = "--urgency",
      paramLabel = "URGENCY",
      description = "URGENT (answers or starts at once), NORMAL or DEFERRABLE.")
  private Urgency urgency;

  @Option(
      names = "--idempotent",
      arity = "1",
      paramLabel = "true|false",
      description = "Whether its work may run more than once.")
  private Boolean idempotent;

  @Option(
      names = "--floor",
      paramLabel = "PART",
      description = "The part of the team's floor it always gets, from 0 to 1; 0 when created.")
  private Double floor;

  @Option(
      names = "--answer-within",
      paramLabel = "TIME",
      description = "The time within which a request must be answered, such as 2s; at most 1h.")
  private Duration answerWithin;

  @Option(
      names = "--rate",
      paramLabel = "N",
      description = "The expected arrivals per second; 0 when created.")
  private Double rate;

  @Option(
      names = "--queue-limit",
      paramLabel = "N",
      description = "The most requests that wait; 1000 when created.")
  private Integer queueLimit;

  @Option(
      names = "--queue-bytes",
      paramLabel = "SIZE",
      description = "The most bytes of waiting request bodies; 16MiB when created.")
  private MemorySize queueBytes;

  @Override
  public WorkClassConfig create(String name) throws UsageException {
    Flags.require("--urgency", urgency, "URGENT, NORMAL or DEFERRABLE");
    Flags.require("--idempotent", idempotent, "true or false");
    Flags.require("--answer-within", answerWithin, "a time such as 2s, at most 1h");
    String[] parts = Flags.splitName("TEAM/CLASS", name);
    return change(
        new WorkClassConfig(
            TeamId.of(parts[0]),
            WorkClassId.of(parts[1]),
            urgency,
            idempotent,
            0,
            answerWithin,
            0,
            DEFAULT_QUEUE,
            DEFAULT_QUEUE_BYTES,
            false));
  }

  @Override
  public WorkClassConfig change(WorkClassConfig before) throws UsageException {
    Flags.requireBetween("--floor", floor, 0, 1);
    Flags.requireBetween("--answer-within", answerWithin, Duration.ofMillis(1), MAX_ANSWER_WITHIN);
    Flags.requireBetween("--rate", rate, 0, MAX_RATE_PER_SECOND);
    Flags.requireBetween("--queue-limit", queueLimit, 1, MAX_QUEUE);
    return new WorkClassConfig(
        before.team(),
        before.name(),
        Flags.orDefault(urgency, before.urgency()),
        Flags.orDefault(idempotent, before.idempotent()),
        Flags.orDefault(floor, before.floor()),
        Flags.orDefault(answerWithin, before.answerWithin()),
        Flags.orDefault(rate, before.expectedRatePerSecond()),
        Flags.orDefault(queueLimit, before.queueLimit()),
        queueBytes == null ? before.queueLimitBytes() : queueBytes.bytes(),
        before.retired());
  }
}
