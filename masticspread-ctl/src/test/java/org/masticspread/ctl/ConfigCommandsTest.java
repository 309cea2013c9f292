package org.masticspread.ctl;

import static org.assertj.core.api.Assertions.assertThat;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.ctl.FakeNode.Reply;
import org.masticspread.ctl.client.Explanation;
import org.masticspread.ctl.client.NodeStatus;
import org.masticspread.ctl.client.Problems;
import org.masticspread.ctl.client.TeamToken;
import org.masticspread.ctl.command.ExitCode;
import org.masticspread.ctl.config.ConfigComparison;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.EndpointState;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.peer.HomeDigest;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.ResultCode;

class ConfigCommandsTest {
  private static final Path EXAMPLE = Path.of("..", "examples", "kitami", "cell.yaml");
  private FakeNode node;
  private Configuration start;
  @TempDir private Path directory;

  @BeforeEach
  void start() throws Exception {
    node = new FakeNode();
    start = ConfigFile.read(EXAMPLE).configuration();
    node.apply(start, "first", "cell.yaml applied");
  }

  @AfterEach
  void stop() {
    node.close();
  }

  @Nested
  class Entries {
    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "pool create p2 --data-centres a,b | pool p2 | + pool p2",
          "pool change kitami --data-centres kitami | pool kitami | dataCentres",
          "team create t --pool kitami --floor 0.1 --weight 3 | team t | \"floor\":0.1",
          "team change workroom --weight 2 | team workroom | weight 1 -> 2",
          "team change workroom --quota-millicores 5 --quota-memory 1GiB --quota-accelerators 0"
              + " | team workroom | 1073741824",
          "work-class create workroom/x --urgency NORMAL --idempotent true --answer-within 2s"
              + " | work-class workroom/x | PT2S",
          "work-class change workroom/pattern-layouts --queue-bytes 1MiB"
              + " | work-class workroom/pattern-layouts | -> 1048576",
          "work-class retire workroom/pattern-layouts | pattern-layouts | retired false -> true",
          "endpoint create e --pool kitami --data-centre kitami --address h:1 --slots 2"
              + " --connections 3 | endpoint e | \"slots\":2",
          "endpoint change kitami-e01 --slots 9 | endpoint kitami-e01 | slots 8 -> 9",
          "worker create w --pool kitami --rack r --data-centre kitami --address h:1"
              + " --millicores 100 --memory 1GiB | worker w | \"millicores\":100",
          "worker change kitami-w01 --accelerators 2 | worker kitami-w01 | capacity",
          "drain endpoint kitami-e02 | endpoint kitami-e02 | \"ACTIVE\" -> \"LEAVING\"",
          "drain worker kitami-w02 | worker kitami-w02 | \"ACTIVE\" -> \"LEAVING\"",
        })
    void should_change_only_the_named_entry(String line, String entry, String change) {
      // WHEN
      CtlRun run = CtlRun.at(node, line);
      // THEN
      assertThat(run.exit()).as(run.err()).isZero();
      assertThat(run.out()).startsWith("revision 2: ");
      assertThat(ConfigComparison.changes(start, node.configuration))
          .singleElement()
          .asString()
          .contains(entry)
          .contains(change);
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "team create workroom --pool kitami | 3 | 'change' changes this one",
          "team change nobody --weight 2 | 5 | there is no team nobody",
          "team change workroom --weight 1 | 2 | at least one flag",
          "team show nobody | 5 | there is no team nobody",
          "endpoint retire kitami-e01 | 3 | masticctl drain endpoint kitami-e01",
          "worker retire kitami-w01 | 3 | masticctl drain worker kitami-w01",
          "drain worker nobody | 5 | there is no worker nobody",
          "team token nobody | 5 | NOT_FOUND",
          "explain job t/j | 5 | NOT_FOUND",
          "config show --revision 9 | 5 | NOT_FOUND",
        })
    void should_change_nothing_when_refused(String line, int exit, String reason) {
      // WHEN
      CtlRun run = CtlRun.at(node, line);
      // THEN
      assertThat(run.exit()).as(run.err()).isEqualTo(exit);
      assertThat(run.err()).contains(reason);
      assertThat(node.configuration.revision()).isEqualTo(1);
    }

    @Test
    void should_retire_a_team_with_its_work_classes_and_a_drained_endpoint() {
      // WHEN
      CtlRun.at(node, "team retire workroom");
      CtlRun.at(node, "drain endpoint kitami-e01");
      CtlRun run = CtlRun.at(node, "endpoint retire kitami-e01");
      CtlRun again = CtlRun.at(node, "endpoint retire kitami-e01");
      CtlRun drain = CtlRun.at(node, "drain endpoint kitami-e01");
      // THEN
      assertThat(run.exit()).as(run.err()).isZero();
      assertThat(again.out()).contains("revision 4: nothing to change");
      assertThat(drain.err()).contains("'RETIRED' is not allowed");
      assertThat(node.configuration.endpoints().get(0).state()).isEqualTo(EndpointState.RETIRED);
      assertThat(node.configuration.workClasses())
          .allMatch(c -> c.retired() == c.team().value().equals("workroom"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"pool", "team", "work-class", "endpoint", "worker"})
    void should_list_and_show_as_text_and_json(String noun) {
      // GIVEN
      String name =
          Map.of(
                  "pool", "kitami",
                  "team", "workroom",
                  "work-class", "workroom/pattern-layouts",
                  "endpoint", "kitami-e01",
                  "worker", "kitami-w01")
              .get(noun);
      // THEN
      assertThat(CtlRun.at(node, noun + " list").out())
          .contains("NAME")
          .contains(name.replaceFirst(".*/", ""));
      assertThat(CtlRun.at(node, noun + " list --json").out()).startsWith("[ {");
      assertThat(CtlRun.at(node, noun + " show " + name).out()).contains("name: ");
      assertThat(CtlRun.at(node, noun + " show --json " + name).out()).startsWith("{");
    }
  }

  @Nested
  class ConcurrentOperators {
    @ParameterizedTest
    @ValueSource(strings = {"team change workroom --weight 5", "config apply FILE"})
    void should_show_the_conflicting_change_to_the_second_operator(String line) throws Exception {
      // GIVEN
      Path file = directory.resolve("cell.yaml");
      String text = Files.readString(EXAMPLE).replace("revision: 0", "revision: 1");
      Files.writeString(file, text.replaceFirst("weight: 1", "weight: 7"));
      Configuration first = start.withRevision(1);
      node.beforePut = () -> node.apply(first, "anna", "drained rack 3");
      // WHEN
      CtlRun run = CtlRun.at(node, line.replace("FILE", file.toString()));
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.CONFLICT.number());
      assertThat(run.err()).contains("anna").contains("drained rack 3").contains("revision 2 at");
      assertThat(node.configuration.revision()).isEqualTo(2);
      assertThat(ConfigComparison.changes(start, node.configuration)).isEmpty();
      assertThat(node.calls).filteredOn(c -> c.method().equals("PUT")).hasSize(1);
    }

    @Test
    void should_refuse_a_file_based_on_an_older_revision() throws Exception {
      // GIVEN
      Path file = directory.resolve("cell.yaml");
      Files.writeString(file, CtlRun.at(node, "config show").out());
      CtlRun.at(node, "team change workroom --weight 3");
      // WHEN
      CtlRun run = CtlRun.at(node, "config apply " + file);
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.CONFLICT.number());
      assertThat(run.err()).contains("team workroom changed");
      assertThat(ConfigComparison.changes(start, node.configuration)).hasSize(1);
    }

    @Test
    void should_report_a_lost_answer_as_unknown() {
      // GIVEN
      node.reply("PUT /v1/config", Reply.LOST);
      // WHEN
      CtlRun run = CtlRun.at(node, "team change workroom --weight 5");
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.UNKNOWN.number());
    }
  }

  @Nested
  class YamlFiles {
    private Path write(String text) throws Exception {
      return Files.writeString(directory.resolve("part.yaml"), text);
    }

    private static final String TEAM =
        "teams:\n- {name: extra, pool: kitami, weight: 1, floor: 0, retired: false}\n";

    @Test
    void should_merge_a_partial_file_and_keep_the_other_entries() throws Exception {
      // GIVEN
      Path file = write(TEAM);
      // WHEN
      CtlRun diff = CtlRun.at(node, "config diff --merge " + file);
      CtlRun apply = CtlRun.at(node, "config apply --merge " + file);
      CtlRun again = CtlRun.at(node, "config diff --merge " + file);
      CtlRun twice = CtlRun.at(node, "config apply --merge " + file);
      // THEN
      assertThat(diff.exit()).isEqualTo(ExitCode.DIFFERENT.number());
      assertThat(diff.out()).startsWith("+ team extra").hasLineCount(1);
      assertThat(apply.exit()).as(apply.err()).isZero();
      assertThat(again.exit()).isZero();
      assertThat(twice.out()).contains("revision 2: nothing to change");
      assertThat(again.out()).contains("no difference");
      assertThat(CtlRun.at(node, "config history").out()).contains("part.yaml applied");
      assertThat(CtlRun.at(node, "audit").out()).contains("by second");
    }

    @Test
    void should_remove_entries_missing_from_a_complete_file() throws Exception {
      // WHEN
      CtlRun run = CtlRun.at(node, "config diff " + write(TEAM));
      // THEN
      assertThat(run.out()).contains("- endpoint kitami-e30").contains("+ team extra");
    }

    @Test
    void should_compare_two_revisions() throws Exception {
      // GIVEN
      node.reply("GET /v1/config/revisions/0", Reply.of(200, Configuration.EMPTY));
      // WHEN
      CtlRun run = CtlRun.at(node, "config diff --from 0 --json");
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.DIFFERENT.number());
      assertThat(run.out()).contains("\"kind\" : \"worker\"");
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "teams: [ | teams",
          "team: [] | team",
          "teams: [{name: a b}] | teams[0].name",
          "teams: [{name: a, pool: p, weight: x}] | teams[0].weight",
          "endpoints: [{name: e, state: GONE}] | endpoints[0].state",
          "workClasses: [{answerWithin: 2s}] | workClasses[0].answerWithin",
          "workers: [{capacity: {millicores: -1, memoryBytes: 1, accelerators: 0}}]"
              + " | workers[0].capacity",
        })
    void should_name_the_invalid_field_of_a_file(String text, String field) throws Exception {
      // WHEN
      CtlRun run = CtlRun.at(node, "config validate " + write(text));
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.INVALID.number());
      assertThat(run.err()).contains("part.yaml: " + field);
      assertThat(node.calls).isEmpty();
    }

    @ParameterizedTest
    @ValueSource(strings = {"validate", "apply"})
    void should_print_the_problems_that_the_node_finds(String command) throws Exception {
      // GIVEN
      Problems problems =
          new Problems(List.of(new Problems.Problem("teams[0].floor", "add up to more than 1")));
      node.reply("POST /v1/config/validate", Reply.of(200, problems));
      // WHEN
      CtlRun run = CtlRun.at(node, "config " + command + " --merge " + write(TEAM));
      // THEN
      assertThat(run.exit()).isEqualTo(ExitCode.INVALID.number());
      assertThat(run.out() + run.err()).contains("teams[0].floor: add up to more than 1");
      assertThat(node.configuration.revision()).isEqualTo(1);
    }
  }

  @Nested
  class ReadOnlyCommands {
    @BeforeEach
    void prepareReplies() throws Exception {
      ResourceVector capacity = new ResourceVector(1000, 1000, 2);
      ResourceVector free = new ResourceVector(250, 500, 1);
      RackDigest rack = new RackDigest(RackId.of("r1"), 3, free, free, capacity, List.of());
      NodeStatus.Vm vm =
          new NodeStatus.Vm(
              VmId.of("vm-1"),
              1,
              4,
              false,
              true,
              20,
              new HomeDigest(8, 5, 2, 1.5),
              List.of(),
              List.of(rack));
      NodeStatus status = new NodeStatus(VmId.of("vm-1"), true, 4, 63, 64, List.of(vm));
      node.reply("GET /v1/status", Reply.of(200, status));
      node.reply("GET /v1/team-tokens/t", Reply.of(200, new TeamToken(TeamId.of("t"), "tok")));
      Explanation.Line line = new Explanation.Line(CtlRun.START, "vm-1", "waits", "no \u001bslot");
      Explanation explanation = new Explanation("job:t/j", List.of(line));
      node.reply("GET /v1/explain/jobs/t/j", Reply.of(200, explanation));
      node.reply("GET /v1/explain/requests/t/r", Reply.of(200, explanation));
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "status | 63/64",
          "status | LOST",
          "status | 5/8",
          "status | 75%",
          "status --json | \"shardsOwned\" : 63",
          "top --once | stopping",
          "top --count 3 | vm-1",
          "explain job t/j | no  slot",
          "explain request t/r --json | \"waits\"",
          "team token t | tok",
          "audit --json | cell.yaml applied",
          "config history --json | cell.yaml applied",
          "config show --json | \"revision\" : 1",
        })
    void should_show_text_or_json(String line, String shown) {
      // WHEN
      CtlRun run = CtlRun.at(node, line);
      // THEN
      assertThat(run.exit()).as(run.err()).isZero();
      assertThat(run.out()).contains(shown);
    }

    @Test
    void should_refresh_top_up_to_its_count_even_without_an_answer() throws Exception {
      // GIVEN
      try (FakeNode broken = new FakeNode()) {
        broken.reply("GET /v1/status", Reply.of(ResultCode.UNAUTHORIZED, null, null));
        // WHEN
        CtlRun run = CtlRun.at(broken, "top --count 3 --interval 5s");
        // THEN
        assertThat(run.out().split("UNAUTHORIZED", -1)).hasSize(4);
        assertThat(run.pauses()).hasSize(2);
      }
    }
  }
}
