package org.masticspread.ctl.logs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Timelines built from lines that the real program wrote. */
class JobTimelineTest {
  private static List<LogLine> lines(String name) throws IOException {
    try (InputStream in = JobTimelineTest.class.getResourceAsStream("/logs/" + name);
        BufferedReader reader =
            new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
      return reader.lines().map(LogLine::read).flatMap(Optional::stream).toList();
    }
  }

  @Nested
  class Cause {
    @Test
    void should_give_the_reason_why_a_job_was_refused() throws Exception {
      // WHEN
      JobTimeline timeline = JobTimeline.of("d38bad4274970a5a", lines("refused.jsonl"));

      // THEN
      assertThat(timeline.cause()).startsWith("refused: ");
    }

    @Test
    void should_show_an_unanswered_task_start_that_delayed_a_job() throws Exception {
      // WHEN
      JobTimeline timeline = JobTimeline.of("c2ec9a9cad33e42f", lines("late.jsonl"));

      // THEN
      assertThat(timeline.lines())
          .extracting(LogLine::event)
          .contains("task-start-unknown", "task-stop", "task-waits-again")
          .isNotEmpty();
      assertThat(timeline.cause()).contains("waited longest");
    }

    @Test
    void should_give_the_last_event_of_a_job_that_was_never_placed() throws Exception {
      // WHEN
      JobTimeline timeline = JobTimeline.of("fe3fcb78ba9fe87a", lines("never-placed.jsonl"));

      // THEN
      assertThat(timeline.cause()).startsWith("not ended in these lines; last: advice-refused");
    }

    @Test
    void should_report_that_no_process_logged_the_job() {
      // WHEN / THEN
      assertThat(JobTimeline.of("none", List.of()).cause()).startsWith("no process wrote a line");
    }
  }

  @Nested
  class Read {
    @Test
    void should_ignore_text_before_the_json_and_lines_that_are_not_json() {
      // GIVEN
      String line = "{\"at\":\"2026-12-04T06:00:00Z\",\"vm\":\"v\",\"event\":\"e\",\"id\":\"i\"}";

      // WHEN / THEN
      assertThat(LogLine.read("  12.3 vm-1 " + line)).isPresent();
      assertThat(LogLine.read("plain text")).isEmpty();
      assertThat(LogLine.read("{\"event\":\"cut")).isEmpty();
    }
  }
}
