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

/** Stories told from lines that the real program wrote. */
class StoryTest {
  private static List<LogLine> lines(String name) throws IOException {
    try (InputStream in = StoryTest.class.getResourceAsStream("/logs/" + name);
        BufferedReader reader =
            new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8))) {
      return reader.lines().map(LogLine::read).flatMap(Optional::stream).toList();
    }
  }

  @Nested
  class Cause {
    @Test
    void should_tell_why_a_job_was_refused() throws Exception {
      // WHEN
      Story story = Story.of("d38bad4274970a5a", lines("refused.jsonl"));

      // THEN
      assertThat(story.cause()).startsWith("refused: ");
    }

    @Test
    void should_show_a_start_without_an_answer_that_made_a_job_wait() throws Exception {
      // WHEN
      Story story = Story.of("c2ec9a9cad33e42f", lines("late.jsonl"));

      // THEN
      assertThat(story.lines())
          .extracting(LogLine::event)
          .contains("task-start-unknown", "task-stop", "task-waits-again")
          .isNotEmpty();
      assertThat(story.cause()).contains("waited longest");
    }

    @Test
    void should_tell_what_a_job_waits_for_that_was_never_placed() throws Exception {
      // WHEN
      Story story = Story.of("fe3fcb78ba9fe87a", lines("never-placed.jsonl"));

      // THEN
      assertThat(story.cause()).startsWith("not ended in these lines; last: advice-refused");
    }

    @Test
    void should_say_that_nothing_is_known() {
      // WHEN / THEN
      assertThat(Story.of("none", List.of()).cause()).startsWith("no process wrote a line");
    }
  }

  @Nested
  class Read {
    @Test
    void should_ignore_what_stands_before_a_line_and_what_is_none() {
      // GIVEN
      String line = "{\"at\":\"2026-12-04T06:00:00Z\",\"vm\":\"v\",\"event\":\"e\",\"id\":\"i\"}";

      // WHEN / THEN
      assertThat(LogLine.read("  12.3 vm-1 " + line)).isPresent();
      assertThat(LogLine.read("plain text")).isEmpty();
      assertThat(LogLine.read("{\"event\":\"cut")).isEmpty();
    }
  }
}
