package org.masticspread.state.guard;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.platform.Mutation;
import org.masticspread.model.platform.StoreException;
import org.masticspread.model.platform.TableService;
import org.masticspread.model.platform.Transaction;
import org.masticspread.model.work.Payload;
import org.masticspread.state.testing.FakeObjects;
import org.masticspread.state.testing.FakeTable;
import org.masticspread.state.testing.Fault;
import org.masticspread.state.testing.Samples;
import org.masticspread.state.testing.VirtualClock;

class StoreGuardTest {
  private static final Transaction WRITE =
      new Transaction(List.of(), List.of(Mutation.put("x", Payload.EMPTY)));

  private final VirtualClock clock = new VirtualClock();
  private final FakeTable store = new FakeTable(clock);
  private final StoreGuard guard =
      new StoreGuard(GuardSettings.DEFAULT, clock::nanos, Samples.random(7));
  private final TableService table = guard.table(store);

  private void failWrites(int count) {
    for (int i = 0; i < count; i++) {
      assertThatThrownBy(() -> table.commit(WRITE)).isInstanceOf(StoreException.class);
    }
  }

  @Nested
  class CircuitBreaker {
    @Test
    void should_refuse_calls_without_effect_while_open() {
      // GIVEN
      store.setDown(true);
      failWrites(GuardSettings.DEFAULT.failuresToOpen());
      long before = store.commits();
      // WHEN // THEN
      assertThatThrownBy(() -> table.commit(WRITE))
          .isInstanceOfSatisfying(
              StoreException.class,
              e -> assertThat(e.effect()).isEqualTo(StoreException.Effect.NONE));
      assertThat(store.commits()).isEqualTo(before);
      assertThat(guard.isReached()).isFalse();
      assertThat(guard.stats().refused()).isEqualTo(1);
    }

    @Test
    void should_bound_the_calls_during_an_outage_of_an_hour_and_reach_the_store_afterwards()
        throws Exception {
      // GIVEN
      store.setDown(true);
      for (int i = 0; i < 36_000; i++) {
        clock.advance(Duration.ofMillis(100));
        failWrites(1);
      }
      // THEN
      assertThat(store.commits()).isLessThan(3_600 + 20);
      // WHEN
      store.setDown(false);
      clock.advance(GuardSettings.DEFAULT.backoffMax());
      table.commit(WRITE);
      // THEN
      assertThat(guard.isReached()).isTrue();
    }

    @ParameterizedTest
    @CsvSource({"0, 1", "1, 2", "2, 4", "3, 8", "4, 16", "5, 16"})
    void should_double_the_concurrency_limit_with_each_success(int successes, int concurrentCalls) {
      // GIVEN
      CallLimiter limiter = new CallLimiter(GuardSettings.DEFAULT, Samples.random(1));
      for (int i = 0; i < GuardSettings.DEFAULT.failuresToOpen(); i++) {
        limiter.tryAcquire(0);
        limiter.release(false, 0, 0);
      }
      long later = GuardSettings.DEFAULT.backoffMax().toNanos();
      // WHEN
      for (int i = 0; i < successes; i++) {
        limiter.tryAcquire(later);
        limiter.release(true, 0, later);
      }
      // THEN
      assertThat(acquireAll(limiter, later)).isEqualTo(concurrentCalls);
    }

    @Test
    void should_halve_the_concurrency_limit_when_the_store_is_slow() {
      // GIVEN
      CallLimiter limiter = new CallLimiter(GuardSettings.DEFAULT, Samples.random(1));
      limiter.tryAcquire(0);
      // WHEN
      boolean slow = limiter.release(true, GuardSettings.DEFAULT.slowAfter().toNanos() + 1, 0);
      // THEN
      assertThat(slow).isTrue();
      assertThat(acquireAll(limiter, 0)).isEqualTo(GuardSettings.DEFAULT.maxConcurrent() / 2);
    }

    private int acquireAll(CallLimiter limiter, long now) {
      int acquired = 0;
      while (limiter.tryAcquire(now)) {
        acquired++;
      }
      return acquired;
    }
  }

  @Nested
  class Retry {
    @Test
    void should_retry_a_failed_read_but_never_a_commit() throws Exception {
      // GIVEN
      store.failReads("x", Fault.REFUSED);
      store.failCommits("x", Fault.ERROR_AFTER);
      // WHEN
      table.read("x");
      failWrites(1);
      // THEN
      assertThat(guard.stats().retries()).isEqualTo(1);
      assertThat(store.commits()).isEqualTo(1);
    }

    @Test
    void should_stop_retrying_when_the_budget_is_exhausted() {
      // GIVEN
      GuardSettings settings =
          new GuardSettings(
              4, Duration.ofSeconds(1), 99, Duration.ofMillis(1), Duration.ofMillis(2), 0.1, 3);
      StoreGuard smallBudget = new StoreGuard(settings, clock::nanos, Samples.random(1));
      store.setDown(true);
      // WHEN
      for (int i = 0; i < 20; i++) {
        assertThatThrownBy(() -> smallBudget.table(store).read("x"))
            .isInstanceOf(StoreException.class);
      }
      // THEN
      assertThat(smallBudget.stats().retries()).isEqualTo(3);
      assertThat(smallBudget.stats().failures()).isEqualTo(23);
    }
  }

  @Nested
  class Count {
    @Test
    void should_count_calls_rows_and_slow_calls() throws Exception {
      // GIVEN
      store.failCommits("x", Fault.SLOW);
      var objects = guard.objects(new FakeObjects());
      // WHEN
      table.commit(WRITE);
      table.scan("x", "", 10);
      objects.put("o", Payload.EMPTY);
      objects.list("o");
      objects.get("o");
      objects.delete("o");
      // THEN
      assertThat(guard.stats())
          .isEqualTo(new GuardStats(3, 3, 3, 0, 0, 0, 1, Duration.ofSeconds(3).toNanos()));
    }
  }
}
