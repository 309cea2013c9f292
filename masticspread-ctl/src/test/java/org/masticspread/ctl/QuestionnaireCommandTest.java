package org.masticspread.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.ctl.config.ConfigComparison;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.WorkerConfig;

class QuestionnaireCommandTest {
  private static final Path EXAMPLES = Path.of("..", "examples");
  private FakeNode node;
  private Configuration example;
  @TempDir private Path directory;

  @BeforeEach
  void start() throws Exception {
    node = new FakeNode();
    useCell("kitami");
  }

  @AfterEach
  void stop() {
    node.close();
  }

  private void useCell(String name) throws Exception {
    example = ConfigFile.read(EXAMPLES.resolve(name).resolve("cell.yaml")).configuration();
    node.configuration =
        new Configuration(
            1, example.pools(), List.of(), List.of(), example.endpoints(), example.workers());
  }

  private CtlRun run(String in, String line) {
    return CtlRun.of(Map.of("MASTICSPREAD_URL", node.url()), in, line.split(" "));
  }

  @Nested
  class Examples {
    @ParameterizedTest
    @CsvSource({"kitami, 1ms, 32000, 128", "mtkvari, 3ms, 16000, 32"})
    void should_generate_the_cell_without_conflict(
        String name, String toClients, long millicores, long gibibytes) throws Exception {
      // GIVEN
      useCell(name);
      List<Path> files;
      try (Stream<Path> all = Files.list(EXAMPLES.resolve(name))) {
        files =
            all.filter(p -> p.getFileName().toString().startsWith("answers-")).sorted().toList();
      }
      // WHEN
      for (Path file : files) {
        CtlRun run =
            run("", "questionnaire --apply --yes --to-clients " + toClients + " --answers " + file);
        assertThat(run.exit()).as(run.err()).isZero();
      }
      // THEN
      assertThat(files).hasSize(3);
      assertThat(ConfigComparison.changes(example, node.configuration)).isEmpty();
      assertThat(example.pools().get(0).dataCentres()).hasSize(3);
      assertThat(example.endpoints())
          .hasSize(30)
          .allMatch(e -> e.slots() == 8 && e.connections() == 64);
      assertThat(example.workers())
          .hasSize(30)
          .allMatch(w -> w.capacity().millicores() == millicores)
          .allMatch(w -> w.capacity().memoryBytes() == gibibytes << 30);
      assertThat(
              example.workers().stream()
                  .collect(Collectors.groupingBy(WorkerConfig::rack, Collectors.counting()))
                  .values())
          .containsExactlyInAnyOrder(8L, 8L, 8L, 6L);
    }
  }

  @Nested
  class Interactive {
    private static final String INPUT =
        "desk\nkitami\nnone\norders\nexecutors\nat-once\n2s\nyes\n64KiB\n100ms\n120/s\n50%\nno\n";

    @Test
    void should_apply_after_confirmation_and_write_the_files() throws Exception {
      // GIVEN
      Path saved = directory.resolve("answers.yaml");
      Path out = directory.resolve("team.yaml");
      // WHEN
      CtlRun run =
          run(INPUT + "yes\n", "questionnaire --apply --save-answers " + saved + " --out " + out);
      // THEN
      assertThat(run.exit()).as(run.err()).isZero();
      assertThat(run.err()).contains("applied as revision 2").contains("6 of its 240 slots");
      assertThat(run.out()).isEqualTo(Files.readString(out)).startsWith("teams:");
      assertThat(run("", "questionnaire --answers " + saved).out()).isEqualTo(run.out());
      assertThat(run("", "config diff --merge " + out).out()).contains("no difference");
    }

    @Test
    void should_not_apply_without_confirmation() {
      // WHEN
      CtlRun run = run(INPUT + "no\n", "questionnaire --apply");
      // THEN
      assertThat(run.err()).contains("not applied");
      assertThat(node.configuration.revision()).isEqualTo(1);
    }

    @Test
    void should_not_apply_a_configuration_with_conflicts() {
      // WHEN
      CtlRun run = run(INPUT.replace("2s", "5ms"), "questionnaire --apply --yes --json");
      // THEN
      assertThat(run.exit()).isEqualTo(3);
      assertThat(run.err()).contains("CONFLICT work[0].answerWithin");
      assertThat(run.out()).contains("\"conflicts\" : [ {");
      assertThat(node.configuration.revision()).isEqualTo(1);
    }

    @Test
    void should_show_the_conflicting_change_of_another_operator() {
      // GIVEN
      node.beforePut = () -> node.apply(node.configuration, "anna", "new racks");
      // WHEN
      CtlRun run = run(INPUT, "questionnaire --apply --yes");
      // THEN
      assertThat(run.exit()).isEqualTo(6);
      assertThat(run.err()).contains("new racks");
      assertThat(node.configuration.teams()).isEmpty();
    }

    @Test
    void should_save_the_answers_when_the_input_ends_early() throws Exception {
      // GIVEN
      Path saved = directory.resolve("answers.yaml");
      // WHEN
      CtlRun run = run("desk\nkitami\n", "questionnaire --save-answers " + saved);
      // THEN
      assertThat(run.exit()).isEqualTo(2);
      assertThat(run.err()).contains("agreedPart: missing").contains("the input has ended");
      assertThat(Files.readString(saved)).contains("team: desk").contains("pool: kitami");
    }
  }
}
