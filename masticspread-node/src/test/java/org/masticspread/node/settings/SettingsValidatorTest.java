package org.masticspread.node.settings;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.util.Locale;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.result.InvalidFieldException;
import picocli.CommandLine;

class SettingsValidatorTest {
  private static NodeSettings validate(String... args) throws InvalidFieldException {
    NodeOptions options = new NodeOptions();
    new CommandLine(new TestCommand(options)).parseArgs(args);
    return SettingsValidator.of(options).toSettings();
  }

  @CommandLine.Command
  private record TestCommand(@CommandLine.Mixin NodeOptions options) {}

  @Nested
  class ToSettings {
    @Test
    void should_accept_the_embedded_platform_without_any_secret() throws Exception {
      // WHEN
      NodeSettings settings = validate("--platform", "embedded");
      // THEN
      assertThat(settings.platform()).isEqualTo(PlatformKind.EMBEDDED);
      assertThat(settings.operatorTokens()).containsValue("apprentice");
      assertThat(settings.toString()).doesNotContain(settings.clusterKey());
    }

    @ParameterizedTest
    @CsvSource(
        delimiter = '|',
        value = {
          "--vm=a b                                 | --vm",
          "--data-centre=                           | --data-centre",
          "--listen-api=nonsense                    | --listen-api",
          "--listen-api=127.0.0.1:70000             | --listen-api",
          "--listen-api=0.0.0.0:7080                | --listen-api",
          "--listen-peers=10.0.0.1:1                | --listen-peers",
          "--platform=cloud                         | --platform",
          "--platform=http                          | --platform-url",
          "--platform-listen=10.0.0.1:7100          | --platform-listen",
          "--embedded-cell=paris                    | --embedded-cell",
          "--cluster-key=short                      | --cluster-key",
          "--operator-tokens=anna                   | --operator-tokens",
          "--operator-tokens=anna=short             | --operator-tokens",
          "--work-shards=0                          | --work-shards",
          "--session-ttl=PT2S                       | --session-ttl",
          "--worker-lease=PT1S                      | --worker-lease",
          "--gossip=PT0S                            | --gossip",
          "--store-writes=0                         | --store-writes",
          "--record-retention=PT30S                 | --record-retention",
          "--max-body-bytes=1                       | --max-body-bytes",
          "--log-format=xml                         | --log-format",
        })
    void should_name_the_flag_and_the_allowed_values(String argument, String flag) {
      // GIVEN
      String[] args =
          argument.startsWith("--platform=")
              ? new String[] {argument}
              : new String[] {"--platform=embedded", argument};
      // THEN
      assertThatThrownBy(() -> validate(args))
          .isInstanceOfSatisfying(
              InvalidFieldException.class, e -> assertThat(e.field()).isEqualTo(flag))
          .hasMessageContaining("allowed: ");
    }

    @Test
    void should_not_reveal_secrets_in_errors() {
      assertThatThrownBy(() -> validate("--platform=embedded", "--operator-tokens=anna=hunter2"))
          .isInstanceOf(InvalidFieldException.class)
          .message()
          .doesNotContain("hunter2");
    }

    @Test
    void should_give_every_flag_an_environment_variable() {
      // GIVEN
      Stream<CommandLine.Option> options =
          Stream.of(NodeOptions.class.getDeclaredFields())
              .map(f -> f.getAnnotation(CommandLine.Option.class));
      // THEN
      assertThat(options)
          .isNotEmpty()
          .allSatisfy(o -> assertThat(o.defaultValue()).startsWith(variable(o.names()[0])));
    }

    private static String variable(String flag) {
      String name = flag.substring(2).replace('-', '_').toUpperCase(Locale.ROOT);
      return "${env:MASTICSPREAD_" + name + ":-";
    }
  }
}
