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

/** What becomes of each kind of HTTP answer; no call is sent twice. */
class HttpEndpointsTest {
  private static final String ID = "masticspread-call: {id}\n";
  private static final String LENGTH = "content-length: {n}\n";
  private static final String END = "\n{id}";

  private static Arguments row(String head, String body, EndpointOutcome outcome) {
    return Arguments.of("HTTP/1.1 " + head + "connection: close\n\n" + body, outcome);
  }

  static Stream<Arguments> answers() {
    EndpointOutcome none = EndpointOutcome.NO_ANSWER;
    return Stream.of(
        row("200 OK\n" + ID + LENGTH, "hi" + END, EndpointOutcome.ANSWERED),
        row("500 Error\n" + ID + LENGTH, "hi" + END, EndpointOutcome.ERROR),
        row("404 Gone\n" + ID + LENGTH, "hi" + END, EndpointOutcome.ERROR),
        row("503 Busy\nmasticspread-outcome: busy\n" + ID + LENGTH, END, EndpointOutcome.BUSY),
        row("503 Busy\nretry-after: 0\n" + ID + LENGTH, END, EndpointOutcome.ERROR),
        row("503 Busy\nretry-after: 0\n" + LENGTH, "proxy", none),
        row("503 Busy\nmasticspread-outcome: busy\n" + LENGTH, "proxy", none),
        row("408 Timeout\n" + LENGTH, "", none),
        row("421 Misdirected\n" + LENGTH, "", none),
        row("302 Found\nlocation: /run\n" + LENGTH, "", none),
        row("307 Moved\nlocation: /run\n" + LENGTH, "", none),
        row("401 Who\nwww-authenticate: Basic\n" + LENGTH, "", none),
        row("200 OK\n" + ID + LENGTH, "hi", none),
        row("200 OK\n" + ID, "hi" + END, none),
        row("200 OK\nmasticspread-call: other\n" + LENGTH, "hi" + END, none),
        row("200 OK\n" + ID + "content-length: 99\n", "hi" + END, none),
        row("200 OK\n" + ID + "content-length: 1\n", "hi" + END, none),
        row("200 OK\n" + ID + "content-length: 2000000\n", "hi" + END, none),
        row("200 OK\n" + ID + "content-length: -4\n", "hi" + END, none),
        Arguments.of("not http at all", none),
        Arguments.of("", none));
  }

  @ParameterizedTest
  @MethodSource("answers")
  void should_take_only_a_whole_answer_to_its_own_call(String answer, EndpointOutcome outcome)
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
