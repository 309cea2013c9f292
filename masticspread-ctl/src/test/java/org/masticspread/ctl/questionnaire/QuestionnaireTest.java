package org.masticspread.ctl.questionnaire;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.DoubleRange;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.codec.Mappers;
import org.masticspread.ctl.config.ConfigFile;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkClassConfig;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.work.Urgency;

class QuestionnaireTest {
  private static final Network NETWORK =
      new Network(Duration.ofNanos(1_500_000), Duration.ofMillis(3));
  private static final String REQUESTS =
      """
      team: desk
      pool: kitami
      agreedPart: none
      work:
        - name: orders
          runsOn: executors
          urgency: at-once
          answerWithin: 2s
          atMostOnce: yes
          largestBody: 64KiB
          takes: 100ms
          rate: 120/s
          keepInFlood: 50%
      """;
  private static final String JOBS =
      """
      team: room
      pool: kitami
      agreedPart: 40%
      work:
        - name: layouts
          runsOn: workers
          urgency: may-wait
          waitUntil: 12h
          atMostOnce: no
          cores: 8
          memory: 16GiB
          accelerators: 0
          tasks: 4
          together: yes
          takes: 30m
          rate: 12/h
          keepInFlood: 100
      """;

  /** Returns the configuration of the Kitami example cell without teams and work classes. */
  static Configuration cell() {
    try {
      Configuration all =
          ConfigFile.read(Path.of("..", "examples", "kitami", "cell.yaml")).configuration();
      return new Configuration(
          0, all.pools(), List.of(), List.of(), all.endpoints(), all.workers());
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  private static Answers read(String yaml) throws Exception {
    AnswersFile file = AnswersFile.of(yaml.getBytes(StandardCharsets.UTF_8));
    Answers answers = new Interview(file, Set.of(PoolId.of("kitami"))).answers();
    file.requireAllAsked();
    return answers;
  }

  @Nested
  class AskingQuestions {
    @Test
    void should_repeat_a_question_with_the_reason_and_keep_earlier_answers() throws Exception {
      // GIVEN
      Deque<String> given =
          new ArrayDeque<>(
              List.of(
                  "a b",
                  "desk",
                  "p9",
                  "kitami",
                  "120%",
                  "none",
                  "",
                  "orders",
                  "cloud",
                  "executors",
                  "now",
                  "at-once",
                  "2",
                  "2h",
                  "2s",
                  "perhaps",
                  "yes",
                  "64KB",
                  "0",
                  "64KiB",
                  "0s",
                  "100ms",
                  "0/s",
                  "120/s",
                  "-1",
                  "50%",
                  "what",
                  "yes",
                  "orders",
                  "claims",
                  "workers",
                  "may-wait",
                  "400d",
                  "48h",
                  "no",
                  "0",
                  "0.0001",
                  "0.5",
                  "1GiB",
                  "-1",
                  "0",
                  "0",
                  "2",
                  "yes",
                  "1h",
                  "5",
                  "5/d",
                  "100",
                  "no"));
      List<Question> asked = new ArrayList<>();
      AnswersRecorder recorder =
          new AnswersRecorder(
              question -> {
                asked.add(question);
                return given.remove();
              });
      // WHEN
      Answers answers = new Interview(recorder, Set.of(PoolId.of("kitami"))).answers();
      // THEN
      assertThat(given).isEmpty();
      assertThat(asked).filteredOn(q -> !q.rejection().isEmpty()).hasSize(22);
      assertThat(asked)
          .filteredOn(q -> !q.rejection().isEmpty())
          .allSatisfy(q -> assertThat(q.rejection()).contains("allowed: " + q.allowed()));
      assertThat(answers.work())
          .extracting(w -> w.name().value())
          .containsExactly("orders", "claims");
      assertThat(read(Mappers.yaml().writeValueAsString(recorder.answers()))).isEqualTo(answers);
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "team: desk | team: | team: '' is not allowed",
          "pool: kitami | pool: other | pool: 'other' is not allowed; allowed: one of kitami",
          "agreedPart: none | agreedPart: 101 | agreedPart: '101'",
          "answerWithin: 2s | answerWithin: 2 | work[0].answerWithin: '2'",
          "answerWithin: 2s | waitUntil: 2h | work[0].answerWithin: ''",
          "rate: 120/s | rate: 120 | work[0].rate: '120'",
          "rate: 120/s | rate: 1200001/s | work[0].rate: '1200001/s'",
          "takes: 100ms | takes: [1] | work[0].takes: ''",
          "keepInFlood: 50% | keepInFlood: half | work[0].keepInFlood: 'half'",
          "largestBody: 64KiB | cores: 2 | work[0].largestBody: ''",
          "agreedPart: none | agreedPart: none\\nextra: 1 | extra: '1'",
          "agreedPart: none | agreedPart: none\\nextra: {} | extra: ''",
          "takes: 100ms | takes: 100ms\\n    cores: 2 | work[0].cores: '2'",
        })
    void should_name_the_invalid_field_of_a_file(String line, String wrong, String message) {
      // GIVEN
      String yaml = REQUESTS.replace(line, wrong.replace("\\n", "\n"));
      // THEN
      assertThatThrownBy(() -> read(yaml))
          .isInstanceOf(InvalidFieldException.class)
          .hasMessageStartingWith(message);
    }
  }

  @Nested
  class Generating {
    @Test
    void should_set_the_floor_of_requests_to_the_slots_that_they_keep_busy() throws Exception {
      // WHEN: 120 requests per second of 0.1 s each keep 12 slots busy; half of that is 6 of 240
      // slots
      GeneratedConfig generated = new ConfigGenerator(cell(), NETWORK).generate(read(REQUESTS));
      // THEN
      assertThat(generated.conflicts()).isEmpty();
      TeamId team = TeamId.of("desk");
      assertThat(generated.config().teams())
          .containsExactly(new TeamConfig(team, PoolId.of("kitami"), 1, 0.025, null, false));
      assertThat(generated.config().workClasses())
          .containsExactly(
              new WorkClassConfig(
                  team,
                  WorkClassId.of("orders"),
                  Urgency.URGENT,
                  false,
                  1,
                  Duration.ofSeconds(2),
                  120,
                  240,
                  240 * (64L << 10),
                  false));
      assertThat(generated.sentences())
          .anyMatch(s -> s.contains("answered at once, within 2 s"))
          .anyMatch(s -> s.contains("at most once"))
          .anyMatch(s -> s.contains("6 of its 240 slots"));
    }

    @Test
    void should_keep_weight_and_quota_of_an_existing_team() throws Exception {
      // GIVEN
      ResourceVector quota = new ResourceVector(1, 2, 3);
      TeamConfig existing = new TeamConfig(TeamId.of("room"), PoolId.of("old"), 9, 0, quota, false);
      Configuration cell = cell();
      Configuration cellWithTeam =
          new Configuration(
              4, cell.pools(), List.of(existing), List.of(), cell.endpoints(), cell.workers());
      // WHEN: 6 jobs in progress occupy 192 of 960 cores
      GeneratedConfig generated = new ConfigGenerator(cellWithTeam, NETWORK).generate(read(JOBS));
      // THEN
      assertThat(generated.conflicts()).isEmpty();
      assertThat(generated.config().teams())
          .containsExactly(
              new TeamConfig(existing.name(), PoolId.of("kitami"), 9, 0.4, quota, false));
      assertThat(generated.sentences().get(0)).contains("moved from pool old");
      assertThat(generated.config().workClasses().get(0).answerWithin())
          .isEqualTo(Duration.ofHours(1));
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "R | answerWithin: 2s | answerWithin: 11ms | answerWithin | round trip of 12 ms",
          "R | answerWithin: 2s | answerWithin: 12ms | answerWithin | round trip of 12 ms",
          "R | answerWithin: 2s | answerWithin: 112ms | answerWithin | the run 100 ms",
          "R | rate: 120/s | rate: 2401/s | rate | 240 slots",
          "R | rate: 120/s | rate: 4810/s | pool | the floors exceed the pool",
          "R | agreedPart: none | agreedPart: 2% | agreedPart | needs 2.5%",
          "R | agreedPart: none | agreedPart: 61% | pool | the other teams leave 60%",
          "J | cores: 8 | cores: 33 | cores | fits no active worker",
          "J | memory: 16GiB | memory: 129GiB | cores | 8000 millicores, 129GiB and 0",
          "J | accelerators: 0 | accelerators: 1 | cores | fits no active worker",
          "J | tasks: 4 | tasks: 121 | tasks | holds 120 of these tasks",
          "J | rate: 12/h | rate: 61/h | rate | 102%",
          "J | rate: 12/h | rate: 25/h | agreedPart | needs 41.7%",
          "J | waitUntil: 12h | waitUntil: 30m | waitUntil | leaves no time to wait",
        })
    void should_report_answers_that_can_not_be_met(
        String base, String line, String changed, String field, String message) throws Exception {
      // GIVEN
      TeamConfig other =
          new TeamConfig(TeamId.of("other"), PoolId.of("kitami"), 1, 0.4, null, false);
      Configuration cell = cell();
      Configuration cellWithTeam =
          new Configuration(
              1, cell.pools(), List.of(other), List.of(), cell.endpoints(), cell.workers());
      String yaml = (base.equals("R") ? REQUESTS : JOBS).replace(line, changed);
      // WHEN
      List<Conflict> conflicts =
          new ConfigGenerator(cellWithTeam, NETWORK).generate(read(yaml)).conflicts();
      // THEN
      assertThat(conflicts)
          .anySatisfy(
              c -> {
                assertThat(c.field()).endsWith(field);
                assertThat(c.message()).contains(message);
              });
    }

    @Test
    void should_report_missing_machines_and_work_classes_without_answers() throws Exception {
      // GIVEN
      Configuration existing =
          new ConfigGenerator(cell(), NETWORK).generate(read(REQUESTS)).config().configuration();
      // WHEN
      GeneratedConfig generated =
          new ConfigGenerator(existing, NETWORK)
              .generate(read(REQUESTS.replace("orders", "claims")));
      // THEN
      assertThat(generated.conflicts())
          .extracting(Conflict::field)
          .containsExactly("pool", "work", "work[0].rate");
    }
  }

  @Property(seed = "20261204", tries = 300)
  void should_never_allocate_more_than_the_pool_has(
      @ForAll @Size(min = 1, max = 5) List<@IntRange(min = 1, max = 400) Integer> rates,
      @ForAll @DoubleRange(min = 0, max = 1) double floodPart) {
    // GIVEN
    List<Answers.Work> work = new ArrayList<>();
    for (int rate : rates) {
      work.add(
          new Answers.Work(
              WorkClassId.of("c" + work.size()),
              Answers.Place.EXECUTORS,
              Urgency.URGENT,
              Duration.ofSeconds(1),
              false,
              Answers.Size.ofRequest(1),
              Duration.ofMillis(200),
              rate,
              floodPart));
    }
    Answers answers = new Answers(TeamId.of("t"), PoolId.of("kitami"), null, work);
    // WHEN
    GeneratedConfig generated = new ConfigGenerator(cell(), NETWORK).generate(answers);
    // THEN
    double needed = rates.stream().mapToInt(Integer::intValue).sum() * 0.2 * floodPart / 240;
    double floor = generated.config().teams().get(0).floor();
    assertThat(floor).isBetween(Math.min(needed, 1) - 1e-9, Math.min(needed + 2e-4, 1));
    assertThat(generated.config().workClasses().stream().mapToDouble(WorkClassConfig::floor).sum())
        .isLessThanOrEqualTo(1 + 1e-9);
    assertThat(generated.conflicts().stream().anyMatch(c -> c.message().contains("floors")))
        .isEqualTo(needed > 1);
  }
}
