package org.masticspread.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.regex.MatchResult;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.config.PoolConfig;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.ResultCode;

class PagesTest {
  private static String page(String name) throws Exception {
    return Files.readString(Path.of("..", "docs", name));
  }

  private static List<String> rows(String page, String row) throws Exception {
    return Pattern.compile("(?m)^" + row)
        .matcher(page(page))
        .results()
        .map(MatchResult::group)
        .toList();
  }

  @Test
  void should_list_each_result_code_as_defined_by_the_enum() throws Exception {
    // GIVEN
    List<String> expected =
        Arrays.stream(ResultCode.values())
            .map(
                c ->
                    "| %d | `%s` | %d | %s | %s |"
                        .formatted(
                            c.number(),
                            c.name(),
                            c.httpStatus(),
                            c.runState().name().toLowerCase(Locale.ROOT).replace('_', ' '),
                            c.isRetryable() ? "yes" : "no"))
            .toList();
    // THEN
    assertThat(rows("RESULT-CODES.md", "\\| \\d+ \\|[^|]*\\|[^|]*\\|[^|]*\\|[^|]*\\|"))
        .isEqualTo(expected);
  }

  @Test
  void should_list_each_exit_code_as_defined_by_the_enum() throws Exception {
    // GIVEN
    List<String> expected =
        Arrays.stream(ExitCode.values())
            .map(c -> "| %d | `%s` | %s |".formatted(c.number(), c.name(), c.meaning()))
            .toList();
    // THEN
    assertThat(rows("EXIT-CODES.md", "\\| \\d+ \\|.*\\|")).isEqualTo(expected);
  }

  @ParameterizedTest
  @ValueSource(
      classes = {
        Configuration.class,
        PoolConfig.class,
        TeamConfig.class,
        WorkClassConfig.class,
        EndpointConfig.class,
        WorkerConfig.class,
        ResourceVector.class
      })
  void should_describe_each_field_of_the_configuration(Class<?> type) throws Exception {
    // GIVEN
    String page = page("CONFIGURATION.md");
    // THEN
    assertThat(type.getRecordComponents())
        .allSatisfy(c -> assertThat(page).containsPattern("`" + c.getName() + "(\\[\\])?`"));
  }
}
