package org.masticspread.ctl.logs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The timeline of one job: the log lines about it, and the lines about its workers and about the
 * leader, store and configuration of the cell from the same period.
 *
 * <p>Example: {@code Story.of("5c0e7a21d94b36f8", lines).cause()}.
 */
public final class JobTimeline {
  /** Events that affect every job of the cell. */
  private static final Set<String> CELL_EVENTS =
      Set.of(
          "leader-won",
          "leader-changed",
          "leader-suspected",
          "cell-handover",
          "cell-loaded",
          "store-lost",
          "store-regained",
          "config-applied",
          "vm-start",
          "vm-stop");

  private final List<LogLine> jobLines;
  private final List<LogLine> lines;

  private JobTimeline(List<LogLine> jobLines, List<LogLine> lines) {
    this.jobLines = jobLines;
    this.lines = lines;
  }

  /**
   * Selects the lines that belong to a job.
   *
   * @param job the job's id
   * @param all the lines of all processes, in any order
   * @return the timeline
   */
  public static JobTimeline of(String job, List<LogLine> all) {
    List<LogLine> sorted = new ArrayList<>(all);
    sorted.sort(Comparator.comparing(LogLine::at));
    List<LogLine> jobLines = sorted.stream().filter(line -> line.isAbout(job)).toList();
    if (jobLines.isEmpty()) {
      return new JobTimeline(jobLines, jobLines);
    }
    Set<String> workers = new HashSet<>();
    jobLines.forEach(line -> workers.add(line.fact("worker")));
    LogLine first = jobLines.get(0);
    LogLine last = jobLines.get(jobLines.size() - 1);
    List<LogLine> lines =
        sorted.stream()
            .filter(line -> !line.at().isBefore(first.at()) && !line.at().isAfter(last.at()))
            .filter(
                line ->
                    line.isAbout(job)
                        || CELL_EVENTS.contains(line.event())
                        || workers.contains(line.id()))
            .toList();
    return new JobTimeline(jobLines, lines);
  }

  /**
   * Returns the lines, earliest first.
   *
   * @return the lines; empty if no process wrote a line about the job
   */
  public List<LogLine> lines() {
    return lines;
  }

  /**
   * Describes the outcome of the job and its cause.
   *
   * @return a sentence
   */
  public String cause() {
    if (jobLines.isEmpty()) {
      return "no process wrote a line about it: it did not reach a VM, or its lines were dropped";
    }
    LogLine last = jobLines.get(jobLines.size() - 1);
    for (LogLine line : jobLines) {
      if (line.event().equals("job-failed")) {
        return "failed: task " + line.fact("task") + " failed " + line.fact("failures") + " times";
      }
      if (line.event().equals("job-cancel")) {
        return "cancelled by its caller";
      }
    }
    return switch (last.event()) {
      case "job-refuse" -> "refused: " + last.fact("reason");
      case "job-malformed" -> "not a job: " + last.fact("reason");
      case "call-given-up" ->
          "given back as " + last.fact("outcome") + ": no leader answered in time";
      case "job-succeeded" -> "succeeded after " + last.fact("ageMs") + " ms; " + longestGap();
      default -> "not ended in these lines; last: " + last.event() + "; " + longestGap();
    };
  }

  /** Describes the longest interval between two lines of the job, which is where it waited. */
  private String longestGap() {
    Duration longest = Duration.ZERO;
    String description = "it has one line only";
    for (int i = 1; i < jobLines.size(); i++) {
      LogLine before = jobLines.get(i - 1);
      Duration gap = Duration.between(before.at(), jobLines.get(i).at());
      if (gap.compareTo(longest) > 0) {
        longest = gap;
        description =
            "waited longest, "
                + gap.toMillis()
                + " ms, between "
                + before.event()
                + reason(before)
                + " and "
                + jobLines.get(i).event();
      }
    }
    return description;
  }

  private static String reason(LogLine line) {
    if (!line.fact("reason").isEmpty()) {
      return " (" + line.fact("reason") + ")";
    }
    if (line.event().equals("step-advice")) {
      return " (" + line.fact("approved") + " of " + line.fact("asked") + " workers approved)";
    }
    return "";
  }
}
