package org.masticspread.codec;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.PoolId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.result.InvalidFieldException;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.Urgency;

class MappersTest {
  private static final JobSpec JOB =
      new JobSpec(
          new JobKey(TeamId.of("temple-desk"), JobId.of("layout-7")),
          WorkClassId.of("layouts"),
          JobKind.GANG,
          Urgency.DEFERRABLE,
          3,
          new ResourceVector(500, 1L << 30, 1),
          Duration.ofMinutes(4),
          Instant.parse("2026-12-05T10:00:00Z"),
          true,
          2,
          Payload.ofText("run"));

  private static void assertRoundTrip(ObjectMapper mapper) throws Exception {
    // GIVEN
    byte[] bytes = mapper.writeValueAsBytes(JOB);
    // WHEN
    JobSpec read = mapper.readValue(bytes, JobSpec.class);
    // THEN
    assertThat(read).isEqualTo(JOB);
  }

  @Nested
  class RoundTrip {
    @Test
    void should_keep_a_job_in_json() throws Exception {
      assertRoundTrip(Mappers.json());
    }

    @Test
    void should_keep_a_job_in_yaml() throws Exception {
      assertRoundTrip(Mappers.yaml());
    }

    @Test
    void should_keep_a_job_in_message_pack() throws Exception {
      assertRoundTrip(Mappers.messagePack());
    }

    @Test
    void should_keep_a_configuration_in_yaml() throws Exception {
      // GIVEN
      TeamConfig team =
          new TeamConfig(TeamId.of("desk"), PoolId.of("kitami"), 2, 0.25, null, false);
      Configuration configuration =
          new Configuration(4, List.of(), List.of(team), List.of(), List.of(), List.of());
      // WHEN
      String yaml = Mappers.yaml().writeValueAsString(configuration);
      // THEN
      assertThat(yaml).contains("name: desk").doesNotContain("quota");
      assertThat(Mappers.yaml().readValue(yaml, Configuration.class)).isEqualTo(configuration);
    }
  }

  @Nested
  class Read {
    private static byte[] bytes(String text) {
      return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    void should_report_an_unknown_field() {
      assertThatThrownBy(
              () -> InputReader.json().read(bytes("{\"cores\":1}"), ResourceVector.class))
          .isInstanceOf(InvalidFieldException.class)
          .hasMessageContaining("cores")
          .hasMessageContaining("millicores");
    }

    @Test
    void should_report_a_negative_size() {
      assertThatThrownBy(
              () ->
                  InputReader.json()
                      .read(
                          bytes("{\"millicores\":-1,\"memoryBytes\":1,\"accelerators\":0}"),
                          ResourceVector.class))
          .isInstanceOf(InvalidFieldException.class)
          .hasMessageContaining("millicores: -1 is negative");
    }

    @Test
    void should_reject_malformed_json() {
      assertThatThrownBy(() -> InputReader.json().read(bytes("{\"a\":"), ResourceVector.class))
          .isInstanceOf(InvalidFieldException.class)
          .hasMessageContaining("body");
    }

    @Test
    void should_report_an_invalid_identifier() {
      assertThatThrownBy(
              () ->
                  InputReader.json().read(bytes("{\"team\":\"a b\",\"job\":\"x\"}"), JobKey.class))
          .isInstanceOf(InvalidFieldException.class)
          .hasMessageContaining("team");
    }
  }
}
