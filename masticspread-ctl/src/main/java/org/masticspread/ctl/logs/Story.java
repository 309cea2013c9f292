package org.masticspread.ctl.logs;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

/**
 * The story of one job: its own lines, and what its VMs and workers went through meanwhile.
 *
 * <p>Example: {@code Story.of("5c0e7a21d94b36f8", lines).cause()}.
 */
public final class Story {
  /** Changes of belief that touch every job. */
  private static final Set<String> CONTEXT =
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

  private final List<LogLine> own;
  private final List<LogLine> lines;

  private Story(List<LogLine> own, List<LogLine> lines) {
    this.own = own;
    this.lines = lines;
  }

  /**
   * Picks the lines that belong to a job.
   *
   * @param job the job's id
   * @param all the lines of all processes, in any order
   * @return the story
   */
  public static Story of(String job, List<LogLine> all) {
    List<LogLine> sorted = new ArrayList<>(all);
    sorted.sort(Comparator.comparing(LogLine::at));
    List<LogLine> own = sorted.stream().filter(line -> line.about(job)).toList();
    if (own.isEmpty()) {
      return new Story(own, own);
    }
    Set<String> workers = new HashSet<>();
    own.forEach(line -> workers.add(line.fact("worker")));
    LogLine first = own.get(0);
    LogLine last = own.get(own.size() - 1);
    List<LogLine> lines =
        sorted.stream()
            .filter(line -> !line.at().isBefore(first.at()) && !line.at().isAfter(last.at()))
            .filter(
                line ->
                    line.about(job)
                        || CONTEXT.contains(line.event())
                        || workers.contains(line.id()))
            .toList();
    return new Story(own, lines);
  }

  /**
   * Returns the lines, earliest first.
   *
   * @return the lines; empty if no process wrote of the job
   */
  public List<LogLine> lines() {
    return lines;
  }

  /**
   * Says in plain words what became of the job, and why.
   *
   * @return a sentence
   */
  public String cause() {
    if (own.isEmpty()) {
      return "no process wrote a line about it: it did not reach a VM, or its lines were dropped";
    }
    LogLine last = own.get(own.size() - 1);
    for (LogLine line : own) {
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

  /** The time in which nothing happened to the job is where it waited. */
  private String longestGap() {
    Duration longest = Duration.ZERO;
    String between = "it has one line only";
    for (int i = 1; i < own.size(); i++) {
      LogLine before = own.get(i - 1);
      Duration gap = Duration.between(before.at(), own.get(i).at());
      if (gap.compareTo(longest) > 0) {
        longest = gap;
        between =
            "waited longest, "
                + gap.toMillis()
                + " ms, between "
                + before.event()
                + reason(before)
                + " and "
                + own.get(i).event();
      }
    }
    return between;
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
