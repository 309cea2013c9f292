package org.masticspread.policy.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.Urgency;

class RequestSchedulerFinishedTest {
  private final RequestFixture fixture = RequestFixture.of(4, 2);

  @Nested
  class Outcomes {
    @ParameterizedTest
    @CsvSource({
      "false, ANSWERED, OK, 1",
      "false, ERROR, ENDPOINT_ERROR, 1",
      "false, NO_ANSWER, OUTCOME_UNKNOWN, 1",
      "false, BUSY ANSWERED, OK, 2",
      "false, CONNECT_FAILED ANSWERED, OK, 2",
      "false, BUSY NO_ANSWER, OUTCOME_UNKNOWN, 2",
      "false, BUSY BUSY BUSY BUSY, OVERLOADED, 4",
      "false, BUSY BUSY BUSY CONNECT_FAILED, CONNECT_FAILED, 4",
      "true, NO_ANSWER ANSWERED, OK, 2",
      "true, NO_ANSWER ERROR, ENDPOINT_ERROR, 2",
      "true, NO_ANSWER BUSY BUSY BUSY, OUTCOME_UNKNOWN, 4",
      "true, NO_ANSWER CONNECT_FAILED CONNECT_FAILED CONNECT_FAILED, OUTCOME_UNKNOWN, 4",
      "true, NO_ANSWER NO_ANSWER NO_ANSWER NO_ANSWER, OUTCOME_UNKNOWN, 4",
    })
    void should_derive_the_result_code_from_the_attempts(
        boolean idempotent, String outcomes, ResultCode expected, int attempts) {
      // GIVEN
      RequestSpec request =
          fixture.request("a", Urgency.NORMAL, idempotent, RequestFixture.ANSWER_WITHIN);
      fixture.scheduler.offer(request);
      List<Completion> ends = new ArrayList<>();
      // WHEN
      for (String outcome : outcomes.split(" ")) {
        Dispatch dispatch = fixture.scheduler.next().orElseThrow();
        ends.add(fixture.finish(dispatch, EndpointOutcome.valueOf(outcome)));
      }
      // THEN
      assertThat(ends).hasSize(attempts);
      assertThat(ends.subList(0, attempts - 1)).allMatch(Completion.Retried.class::isInstance);
      assertThat(ends.get(attempts - 1))
          .isInstanceOfSatisfying(
              Completion.Deliver.class, d -> assertThat(d.conclusion().code()).isEqualTo(expected));
      assertThat(fixture.scheduler.next()).isEmpty();
    }

    @Test
    void should_ignore_a_repeated_end_of_a_dispatch() {
      // GIVEN
      fixture.offer("a", Urgency.URGENT);
      Dispatch dispatch = fixture.scheduler.next().orElseThrow();
      // WHEN
      Completion first = fixture.finish(dispatch, EndpointOutcome.ANSWERED);
      Completion second = fixture.finish(dispatch, EndpointOutcome.ANSWERED);
      // THEN
      assertThat(first).isInstanceOf(Completion.Deliver.class);
      assertThat(second).isInstanceOf(Completion.Dropped.class);
    }

    @Test
    void should_report_unknown_when_an_expired_retry_may_have_run() {
      // GIVEN
      final RequestSpec request = fixture.offer("a", Urgency.NORMAL);
      Dispatch dispatch = fixture.scheduler.next().orElseThrow();
      fixture.finish(dispatch, EndpointOutcome.NO_ANSWER);
      // WHEN
      fixture.advance(RequestFixture.ANSWER_WITHIN);
      List<Conclusion> expired = fixture.scheduler.expire();
      // THEN
      assertThat(expired).hasSize(1);
      assertThat(expired.get(0).request()).isEqualTo(request);
      assertThat(expired.get(0).code()).isEqualTo(ResultCode.OUTCOME_UNKNOWN);
    }
  }

  @Nested
  class Hedges {
    @Test
    void should_hedge_at_another_endpoint_and_deliver_once() {
      // GIVEN
      fixture.offer("a", Urgency.URGENT);
      Dispatch first = fixture.scheduler.next().orElseThrow();
      fixture.advance(Duration.ofMillis(300));
      // WHEN
      Dispatch second = fixture.scheduler.next().orElseThrow();
      Completion delivered = fixture.finish(second, EndpointOutcome.ANSWERED);
      Completion late = fixture.finish(first, EndpointOutcome.ANSWERED);
      // THEN
      assertThat(second.hedge()).isTrue();
      assertThat(second.endpoint()).isNotEqualTo(first.endpoint());
      assertThat(delivered).isInstanceOf(Completion.Deliver.class);
      assertThat(late).isInstanceOf(Completion.Dropped.class);
    }

    @ParameterizedTest
    @CsvSource({"URGENT, false", "NORMAL, true", "DEFERRABLE, true"})
    void should_not_hedge_less_urgent_or_non_idempotent_work(Urgency urgency, boolean idempotent) {
      // GIVEN
      fixture.scheduler.offer(
          fixture.request("a", urgency, idempotent, RequestFixture.ANSWER_WITHIN));
      fixture.scheduler.next();
      fixture.advance(Duration.ofSeconds(1));
      // WHEN
      Optional<Dispatch> second = fixture.scheduler.next();
      // THEN
      assertThat(second).isEmpty();
    }
  }

  @Nested
  class Health {
    @ParameterizedTest
    @CsvSource({"CONNECT_FAILED", "NO_ANSWER"})
    void should_eject_a_failing_endpoint_and_try_it_again(EndpointOutcome outcome) {
      // GIVEN
      List<String> used = new ArrayList<>();
      // WHEN
      for (int i = 0; i < 400; i++) {
        fixture.scheduler.offer(
            fixture.request("a", Urgency.NORMAL, false, RequestFixture.ANSWER_WITHIN));
        Dispatch dispatch = fixture.scheduler.next().orElseThrow();
        String endpoint = dispatch.endpoint().name().value();
        used.add(endpoint);
        fixture.finish(dispatch, endpoint.equals("e0") ? outcome : EndpointOutcome.ANSWERED);
        fixture.scheduler.cancel(dispatch.request().key());
      }
      // THEN
      long failed = used.stream().filter("e0"::equals).count();
      assertThat(failed).isBetween(6L, 20L);
    }

    @Test
    void should_keep_most_endpoints_when_all_fail() {
      // GIVEN
      Set<String> used = new HashSet<>();
      // WHEN
      for (int i = 0; i < 200; i++) {
        fixture.scheduler.offer(
            fixture.request("a", Urgency.NORMAL, false, RequestFixture.ANSWER_WITHIN));
        Dispatch dispatch = fixture.scheduler.next().orElseThrow();
        fixture.finish(dispatch, EndpointOutcome.NO_ANSWER);
        if (i >= 100) {
          used.add(dispatch.endpoint().name().value());
        }
      }
      // THEN
      assertThat(used).hasSizeGreaterThanOrEqualTo(3);
    }
  }
}
