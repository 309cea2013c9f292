package org.masticspread.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.BufferedReader;
import java.io.PrintWriter;
import java.io.Reader;
import java.io.Writer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.masticspread.ctl.command.CtlContext;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

class CommandLineTest {
  private static final Path DOCS = Path.of("..", "docs");

  private static CommandLine commandLine() {
    PrintWriter none = new PrintWriter(Writer.nullWriter());
    BufferedReader in = new BufferedReader(Reader.nullReader());
    return CtlCommandLine.create(
        new CtlContext(Map.of(), in, none, none, () -> CtlRun.START, time -> {}));
  }

  static Stream<CommandSpec> commands() {
    return flatten(commandLine().getCommandSpec());
  }

  private static Stream<CommandSpec> flatten(CommandSpec spec) {
    return Stream.concat(
        Stream.of(spec),
        spec.subcommands().values().stream().flatMap(l -> flatten(l.getCommandSpec())));
  }

  private static String[] arguments(CommandSpec spec, String last) {
    return (spec.qualifiedName().replaceFirst("^masticctl ?", "") + " " + last).strip().split(" ");
  }

  @Nested
  class EachCommand {
    @ParameterizedTest
    @MethodSource("org.masticspread.ctl.CommandLineTest#commands")
    void should_print_help_and_version(CommandSpec spec) {
      // WHEN
      CtlRun help = CtlRun.of(arguments(spec, "--help"));
      CtlRun version = CtlRun.of(arguments(spec, "--version"));
      // THEN
      assertThat(help.exit()).isZero();
      assertThat(help.out()).startsWith("Usage: " + spec.qualifiedName());
      assertThat(version.out()).startsWith("masticctl ");
    }

    @ParameterizedTest
    @MethodSource("org.masticspread.ctl.CommandLineTest#commands")
    void should_read_each_flag_from_its_environment_variable(CommandSpec spec) throws Exception {
      // GIVEN
      String help = CtlRun.of(arguments(spec, "--help")).out().replaceAll("\\s+", " ");
      // THEN
      assertThat(spec.options())
          .filteredOn(o -> !CtlCommandLine.isHelp(o))
          .extracting(CtlCommandLine::variableName)
          .allSatisfy(v -> assertThat(help).contains("Environment: " + v));
    }

    @ParameterizedTest
    @MethodSource("org.masticspread.ctl.CommandLineTest#commands")
    void should_be_documented_on_the_page(CommandSpec spec) throws Exception {
      // GIVEN
      String page = Files.readString(DOCS.resolve("CLI.md"));
      // THEN
      assertThat(page).contains(spec.qualifiedName());
      assertThat(spec.options())
          .filteredOn(o -> !CtlCommandLine.isHelp(o))
          .extracting(OptionSpec::longestName)
          .allSatisfy(name -> assertThat(page).contains("`" + name));
    }
  }

  @Nested
  class InvalidInput {
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "request --work-class c | --team | missing",
          "request --team a/b --work-class c | --team | 'a/b'",
          "request --team t --work-class c --answer-within 2 | --answer-within | 250ms",
          "request --team t --work-class c --answer-within 2h | --answer-within | PT1H",
          "request --team t --work-class c --retries 101 | --retries | 100",
          "request --team t --work-class c --url ftp://x | --url | HTTP",
          "request --team t --work-class c --token a!b | --token | (hidden)",
          "request --team t --work-class c --timeout 0s | --timeout | PT1H",
          "request --team t --work-class c --unknown | --unknown | Unknown option",
          "job submit --team t --work-class c --tasks -1 | --tasks | from 1 to 10000",
          "job submit --team t --work-class c --tasks many | --tasks | a whole number",
          "job submit --team t --work-class c --memory 2GB | --memory | 512MiB",
          "job submit --team t --work-class c --memory 2000TiB | --memory | at most 1024TiB",
          "job submit --team t --work-class c --millicores -5 | --millicores | from 0",
          "job submit --team t --work-class c --accelerators 1.5 | --accelerators | whole",
          "job submit --team t --work-class c --kind HEAP | --kind | GANG",
          "job submit --team t --work-class c --deadline soon | --deadline | soon",
          "job submit --team t --work-class c --deadline 2020-01-01T00:00:00Z"
              + " | --deadline | to come",
          "job submit --team t --work-class c --idempotent maybe | --idempotent | maybe",
          "job submit --team t --work-class c --max-attempts 0 | --max-attempts | from 1 to 100",
          "job submit --team t --work-class c --run-time -1s | --run-time | 250ms",
          "job submit --team t --work-class c --accept-within 0s | --accept-within | PT1H",
          "job show t | TEAM/JOB | two names",
          "job show t/j --wait PT-1S | --wait | PT0S",
          "job list --team t --limit 0 | --limit | from 1 to 1000",
          "job cancel t/j/k | TEAM/JOB | two names",
          "top --interval 1ms | --interval | PT0.1S",
          "top --count 0 | --count | from 1",
          "explain job x | TEAM/ID | two names",
          "explain request | TEAM/ID | missing",
          "audit --limit 1001 | --limit | from 1 to 1000",
          "config show --revision -1 | --revision | from 0",
          "config diff | --from | FILE",
          "config diff --from 1 no-file | --from | not both",
          "config history --limit x | --limit | a whole number",
          "pool create p | --data-centres | missing",
          "pool create p/q --data-centres a | NAME | letters",
          "team create t | --pool | missing",
          "team create t --pool p --weight 0 | --weight | from 1",
          "team create t --pool p --floor 1.5 | --floor | from 0 to 1",
          "team create t --pool p --floor NaN | --floor | from 0 to 1",
          "team create t --pool p --quota-memory 1GiB | --quota-millicores | missing",
          "work-class create t/c --idempotent true | --urgency | DEFERRABLE",
          "work-class create c --urgency URGENT --idempotent true --answer-within 1s"
              + " | TEAM/CLASS | two",
          "work-class create t/c --urgency URGENT --idempotent true | --answer-within | 1h",
          "endpoint create e --pool p --data-centre d | --address | host and port",
          "worker create w --pool p --rack r --data-centre d --address a:1 | --millicores | whole",
          "team token a/b | NAME | letters",
          "questionnaire --to-clients 11s | --to-clients | PT10S",
          "questionnaire --apply --cell x | --apply | without --cell",
          "completion fish | SHELL | ZSH",
        })
    void should_name_the_flag_and_the_allowed_values(String args, String flag, String allowed) {
      // WHEN
      CtlRun run = CtlRun.of(Map.of("MASTICSPREAD_URL", "http://127.0.0.1:1"), "", args.split(" "));
      // THEN
      assertThat(run.exit()).as(run.err()).isEqualTo(2);
      assertThat(run.err()).contains(flag).contains(allowed).doesNotContain("a!b");
    }

    @Test
    void should_name_the_flag_of_an_invalid_environment_variable() {
      // WHEN
      CtlRun run =
          CtlRun.of(Map.of("MASTICSPREAD_LIMIT", "lots"), "", "job", "list", "--team", "t");
      // THEN
      assertThat(run.exit()).isEqualTo(2);
      assertThat(run.err()).contains("--limit").contains("'lots'").contains("a whole number");
    }

    @Test
    void should_prefer_a_flag_to_its_environment_variable() {
      // WHEN
      CtlRun run =
          CtlRun.of(
              Map.of("MASTICSPREAD_URL", "nonsense"), "", "status", "--url", "http://127.0.0.1:1");
      // THEN
      assertThat(run.exit()).as(run.err()).isEqualTo(7);
    }
  }

  @Test
  void should_print_a_completion_script() {
    // WHEN
    CtlRun run = CtlRun.of("completion", "bash");
    // THEN
    assertThat(run.out()).contains("_complete_masticctl").contains("questionnaire");
  }
}
