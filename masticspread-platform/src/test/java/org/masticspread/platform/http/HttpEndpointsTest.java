package org.masticspread.platform.http;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.masticspread.model.config.EndpointConfig;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.platform.EndpointReply;
import org.masticspread.platform.contract.PlatformFixture;

/** Tests the outcome of each kind of HTTP answer, and that no call is sent twice. */
class HttpEndpointsTest {
  private static final String ID_HEADER = "masticspread-call: {id}\n";
  private static final String LENGTH_HEADER = "content-length: {n}\n";
  private static final String END_MARKER = "\n{id}";

  private static Arguments row(String head, String body, EndpointOutcome outcome) {
    return Arguments.of("HTTP/1.1 " + head + "connection: close\n\n" + body, outcome);
  }

  static Stream<Arguments> answers() {
    EndpointOutcome noAnswer = EndpointOutcome.NO_ANSWER;
    return Stream.of(
        row("200 OK\n" + ID_HEADER + LENGTH_HEADER, "hi" + END_MARKER, EndpointOutcome.ANSWERED),
        row("500 Error\n" + ID_HEADER + LENGTH_HEADER, "hi" + END_MARKER, EndpointOutcome.ERROR),
        row("404 Gone\n" + ID_HEADER + LENGTH_HEADER, "hi" + END_MARKER, EndpointOutcome.ERROR),
        row(
            "503 Busy\nmasticspread-outcome: busy\n" + ID_HEADER + LENGTH_HEADER,
            END_MARKER,
            EndpointOutcome.BUSY),
        row(
            "503 Busy\nretry-after: 0\n" + ID_HEADER + LENGTH_HEADER,
            END_MARKER,
            EndpointOutcome.ERROR),
        row("503 Busy\nretry-after: 0\n" + LENGTH_HEADER, "proxy", noAnswer),
        row("503 Busy\nmasticspread-outcome: busy\n" + LENGTH_HEADER, "proxy", noAnswer),
        row("408 Timeout\n" + LENGTH_HEADER, "", noAnswer),
        row("421 Misdirected\n" + LENGTH_HEADER, "", noAnswer),
        row("302 Found\nlocation: /run\n" + LENGTH_HEADER, "", noAnswer),
        row("307 Moved\nlocation: /run\n" + LENGTH_HEADER, "", noAnswer),
        row("401 Who\nwww-authenticate: Basic\n" + LENGTH_HEADER, "", noAnswer),
        row("200 OK\n" + ID_HEADER + LENGTH_HEADER, "hi", noAnswer),
        row("200 OK\n" + ID_HEADER, "hi" + END_MARKER, noAnswer),
        row("200 OK\nmasticspread-call: other\n" + LENGTH_HEADER, "hi" + END_MARKER, noAnswer),
        row("200 OK\n" + ID_HEADER + "content-length: 99\n", "hi" + END_MARKER, noAnswer),
        row("200 OK\n" + ID_HEADER + "content-length: 1\n", "hi" + END_MARKER, noAnswer),
        row("200 OK\n" + ID_HEADER + "content-length: 2000000\n", "hi" + END_MARKER, noAnswer),
        row("200 OK\n" + ID_HEADER + "content-length: -4\n", "hi" + END_MARKER, noAnswer),
        Arguments.of("not http at all", noAnswer),
        Arguments.of("", noAnswer));
  }

  @ParameterizedTest
  @MethodSource("answers")
  void should_accept_only_a_complete_answer_to_its_own_call(String answer, EndpointOutcome outcome)
      throws Exception {
    // GIVEN
    HttpSettings settings =
        new HttpSettings(Duration.ofSeconds(20), Duration.ofSeconds(20), 1_000_000);
    try (CannedServer server = new CannedServer(answer);
        HttpEndpoints endpoints = new HttpEndpoints(settings)) {
      PlatformFixture platform = PlatformFixture.inMemory();
      EndpointConfig c = platform.endpoint(4);
      EndpointConfig endpoint =
          new EndpointConfig(c.name(), c.pool(), c.dataCentre(), server.address(), 2, 4, c.state());

      // WHEN
      EndpointReply reply =
          endpoints
              .call(endpoint, platform.request("r1", "x"), Duration.ofSeconds(20))
              .toCompletableFuture()
              .get(60, TimeUnit.SECONDS);

      // THEN
      assertThat(reply.outcome()).as(reply.detail()).isEqualTo(outcome);
      assertThat(server.requests()).isEqualTo(1);
    }
  }
}
