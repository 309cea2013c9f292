package org.masticspread.policy.request;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.RequestSpec;
import org.masticspread.model.work.Urgency;

class RequestSchedulerOfferTest {
  private static ResultCode codeOf(Admission admission) {
    return admission instanceof Admission.Refused refused ? refused.code() : ResultCode.OK;
  }

  @ParameterizedTest
  @CsvSource({
    "a, PT2S, false, OK",
    "a, PT0S, false, DEADLINE_PASSED",
    "a, PT-1S, false, DEADLINE_PASSED",
    "nobody, PT2S, false, NOT_FOUND",
    "a, PT2S, true, NO_ENDPOINT",
  })
  void should_admit_or_refuse_with_the_matching_code(
      String team, Duration within, boolean leaving, ResultCode expected) {
    // GIVEN
    RequestFixture fixture = RequestFixture.of(1, 1);
    if (leaving) {
      fixture.scheduler.markLeaving(EndpointId.of("e0"));
    }
    // WHEN
    Admission admission =
        fixture.scheduler.offer(fixture.request(team, Urgency.URGENT, true, within));
    // THEN
    assertThat(codeOf(admission)).isEqualTo(expected);
  }

  @Test
  void should_refuse_early_when_the_queue_drains_too_slowly() {
    // GIVEN
    RequestFixture fixture = RequestFixture.of(1, 2);
    fixture.offer("a", Urgency.URGENT);
    Dispatch first = fixture.scheduler.next().orElseThrow();
    fixture.advance(Duration.ofMillis(400));
    fixture.scheduler.finished(first, EndpointOutcome.ANSWERED, Duration.ofMillis(400));
    // WHEN
    List<Admission> admissions = new ArrayList<>();
    for (int i = 0; i < 50; i++) {
      RequestSpec request =
          fixture.request("a", Urgency.URGENT, true, RequestFixture.ANSWER_WITHIN);
      admissions.add(fixture.scheduler.offer(request));
      fixture.dispatchAll();
    }
    // THEN
    assertThat(codeOf(admissions.get(0))).isEqualTo(ResultCode.OK);
    assertThat(admissions.get(49))
        .isInstanceOfSatisfying(
            Admission.Refused.class,
            refused -> {
              assertThat(refused.code()).isEqualTo(ResultCode.OVERLOADED);
              assertThat(refused.retryAfter()).isPositive();
            });
  }

  @Test
  void should_refuse_beyond_the_queue_limit_of_the_class() {
    // GIVEN
    RequestFixture fixture = new RequestFixture(1, 1, 3, RequestLimits.STANDARD);
    for (int i = 0; i < 3; i++) {
      fixture.offer("a", Urgency.DEFERRABLE);
    }
    // WHEN
    Admission fourth =
        fixture.scheduler.offer(
            fixture.request("a", Urgency.DEFERRABLE, true, RequestFixture.ANSWER_WITHIN));
    // THEN
    assertThat(codeOf(fourth)).isEqualTo(ResultCode.QUEUE_FULL);
  }

  @Test
  void should_evict_the_newest_deferrable_request_over_its_floor_for_urgent_work() {
    // GIVEN
    RequestLimits limits =
        new RequestLimits(100, 1 << 20, 4, 10, 0.3, 0.1, 0.02, Duration.ofMillis(500));
    RequestFixture fixture = new RequestFixture(1, 1, 1_000, limits);
    RequestSpec last = null;
    for (int i = 0; i < 100; i++) {
      last = fixture.request("a", Urgency.DEFERRABLE, true, Duration.ofHours(1));
      fixture.scheduler.offer(last);
    }
    // WHEN
    Admission urgent =
        fixture.scheduler.offer(
            fixture.request("b", Urgency.URGENT, true, RequestFixture.ANSWER_WITHIN));
    Admission deferrable =
        fixture.scheduler.offer(
            fixture.request("a", Urgency.DEFERRABLE, true, Duration.ofHours(1)));
    // THEN
    assertThat(urgent).isInstanceOf(Admission.Admitted.class);
    List<Conclusion> evicted = ((Admission.Admitted) urgent).evicted();
    assertThat(evicted).hasSize(1);
    assertThat(evicted.get(0).request()).isEqualTo(last);
    assertThat(evicted.get(0).code()).isEqualTo(ResultCode.OVERLOADED);
    assertThat(codeOf(deferrable)).isEqualTo(ResultCode.OVERLOADED);
  }

  @Test
  void should_conclude_queued_requests_as_not_run_when_their_class_is_removed() {
    // GIVEN
    RequestFixture fixture = RequestFixture.of(1, 1);
    fixture.offer("a", Urgency.NORMAL);
    fixture.offer("a", Urgency.NORMAL);
    Configuration old = fixture.configuration;
    // WHEN
    List<Conclusion> gone =
        fixture.scheduler.configure(
            new Configuration(2, old.pools(), old.teams(), List.of(), List.of(), List.of()),
            List.of());
    // THEN
    assertThat(gone).extracting(Conclusion::code).containsOnly(ResultCode.NOT_FOUND).hasSize(2);
  }

  @Test
  void should_count_slots_of_a_former_home_as_occupied_until_released() {
    // GIVEN
    RequestFixture fixture = RequestFixture.of(1, 4);
    EndpointId endpoint = EndpointId.of("e0");
    fixture.scheduler.holdSlots(endpoint, 3, fixture.instant().plusSeconds(1));
    for (int i = 0; i < 4; i++) {
      fixture.offer("a", Urgency.URGENT);
    }
    // WHEN
    int held = fixture.dispatchAll().size();
    fixture.scheduler.releaseHeldSlots(endpoint);
    int released = fixture.dispatchAll().size();
    // THEN
    assertThat(held).isEqualTo(1);
    assertThat(released).isEqualTo(3);
    assertThat(fixture.scheduler.inFlight(endpoint)).isEqualTo(4);
    assertThat(fixture.scheduler.digest().busy()).isEqualTo(4);
  }

  @Test
  void should_send_nothing_to_leaving_endpoints_and_explain_its_decisions() {
    // GIVEN
    RequestFixture fixture = RequestFixture.of(2, 4);
    fixture.scheduler.setLeaving(Set.of(EndpointId.of("e1")));
    RequestSpec request = fixture.offer("a", Urgency.URGENT);
    for (int i = 0; i < 7; i++) {
      fixture.offer("b", Urgency.URGENT);
    }
    // WHEN
    List<Dispatch> dispatches = fixture.dispatchAll();
    // THEN
    assertThat(dispatches)
        .hasSize(4)
        .allMatch(dispatch -> dispatch.endpoint().name().value().equals("e0"));
    assertThat(fixture.scheduler.explain(request.key()))
        .extracting(RequestDecision::decision)
        .contains("sent");
  }
}
