package org.masticspread.state.session;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.platform.StoreException;
import org.masticspread.state.testing.FakeTable;
import org.masticspread.state.testing.Fault;
import org.masticspread.state.testing.VirtualClock;

class SessionTest {
  private static final VmId A = VmId.of("vm-a");
  private static final VmId B = VmId.of("vm-b");

  private final VirtualClock clock = new VirtualClock();
  private final FakeTable table = new FakeTable(clock);

  private SessionKeeper keeper(VmId vm, String nonce) {
    return new SessionKeeper(
        table, SessionTiming.DEFAULT, vm, vm + ":1", DataCentreId.of("gori"), nonce, clock::nanos);
  }

  private SessionWatcher watcher(SessionKeeper self) {
    return new SessionWatcher(table, SessionTiming.DEFAULT, self, clock::nanos);
  }

  private void advanceOneSecond() {
    clock.advance(Duration.ofSeconds(1));
  }

  @Nested
  class Open {
    @ParameterizedTest
    @EnumSource(
        value = Fault.class,
        names = {"ERROR_BEFORE", "ERROR_AFTER", "LATE_EFFECT", "SLOW", "STALE"})
    void should_open_one_session_after_a_fault(Fault fault) throws Exception {
      // GIVEN
      SessionKeeper keeper = keeper(A, "n1");
      table.failCommits("incarnation/", fault);
      // WHEN
      keeper.open();
      // THEN
      assertThat(table.keys("session/")).hasSize(1);
      assertThat(keeper.heartbeat()).isTrue();
    }

    @Test
    void should_fail_while_the_store_is_down_and_open_later() throws Exception {
      // GIVEN
      SessionKeeper keeper = keeper(A, "n1");
      table.setDown(true);
      assertThatThrownBy(keeper::open).isInstanceOf(StoreException.class);
      // WHEN
      table.setDown(false);
      // THEN
      assertThat(keeper.open().number()).isEqualTo(1);
    }

    @Test
    void should_hold_an_adopted_session_from_its_first_write() throws Exception {
      // GIVEN
      SessionKeeper keeper = keeper(A, "n1");
      table.failCommits("incarnation/", Fault.ERROR_AFTER);
      table.failReads("incarnation/", Fault.NONE, Fault.REFUSED);
      assertThatThrownBy(keeper::open).isInstanceOf(StoreException.class);
      // WHEN
      clock.advance(SessionTiming.DEFAULT.ttl());
      keeper.open();
      // THEN
      assertThat(keeper.isHeld()).isFalse();
      assertThat(keeper.heartbeat()).isTrue();
      assertThat(keeper.isHeld()).isTrue();
    }

    @Test
    void should_never_use_a_number_twice() throws Exception {
      // GIVEN
      keeper(A, "n1").open();
      // WHEN // THEN
      assertThat(keeper(A, "n2").open().number()).isEqualTo(2);
      table.keys("session/").forEach(table::remove);
      assertThat(keeper(A, "n3").open().number()).isEqualTo(3);
    }
  }

  @Nested
  class Heartbeat {
    @ParameterizedTest
    @CsvSource({"REFUSED, false", "ERROR_BEFORE, false", "ERROR_AFTER, true", "LATE_EFFECT, false"})
    void should_hold_from_the_start_of_the_last_heartbeat_known_to_have_taken_effect(
        Fault fault, boolean held) throws Exception {
      // GIVEN
      SessionKeeper keeper = keeper(A, "n1");
      keeper.open();
      clock.advance(Duration.ofMillis(3_500));
      table.failCommits("session/", fault, Fault.REFUSED, Fault.REFUSED);
      keeper.heartbeat();
      // WHEN
      clock.advance(Duration.ofMillis(200));
      for (int i = 0; i < 2; i++) {
        keeper.heartbeat();
      }
      clock.advance(Duration.ofMillis(400));
      // THEN
      assertThat(keeper.isHeld()).isEqualTo(held);
      assertThat(keeper.isFenced()).isFalse();
    }

    @Test
    void should_expire_locally_before_another_vm_may_fence_it() throws Exception {
      // GIVEN
      SessionKeeper keeper = keeper(A, "n1");
      keeper.open();
      keeper.heartbeat();
      // WHEN
      clock.advance(SessionTiming.DEFAULT.ttl().minus(SessionTiming.DEFAULT.margin()));
      // THEN
      assertThat(keeper.isHeld()).isFalse();
    }

    @Test
    void should_notice_that_it_was_fenced() throws Exception {
      // GIVEN
      SessionKeeper paused = keeper(A, "n1");
      paused.open();
      keeper(A, "n2").open();
      SessionKeeper other = keeper(B, "n3");
      other.open();
      watcher(other).tick();
      // WHEN
      boolean renewed = paused.heartbeat();
      // THEN
      assertThat(renewed).isFalse();
      assertThat(paused.isFenced()).isTrue();
      assertThat(paused.isHeld()).isFalse();
    }

    @Test
    void should_stay_closed() throws Exception {
      // GIVEN
      SessionKeeper keeper = keeper(A, "n1");
      keeper.open();
      // WHEN
      table.failCommits("session/", Fault.ERROR_AFTER);
      keeper.close();
      // THEN
      assertThat(keeper.close()).isTrue();
      assertThat(keeper.state()).contains(SessionState.CLOSED);
      assertThat(keeper.heartbeat()).isFalse();
      assertThat(FenceRow.read(table, keeper.incarnation())).isEqualTo(SessionState.CLOSED);
    }
  }

  @Nested
  class Watch {
    private SessionKeeper self;
    private SessionKeeper other;
    private SessionWatcher watcher;

    private void start() throws Exception {
      self = keeper(A, "n1");
      other = keeper(B, "n2");
      self.open();
      other.open();
      watcher = watcher(self);
      watcher.tick();
    }

    private void round(boolean otherSendsHeartbeat) {
      advanceOneSecond();
      self.heartbeat();
      if (otherSendsHeartbeat) {
        other.heartbeat();
      }
      try {
        watcher.tick();
      } catch (Exception e) {
        assertThat(e).isInstanceOf(StoreException.class);
      }
    }

    private SessionState stateOfOther() throws Exception {
      return FenceRow.read(table, other.incarnation());
    }

    @Test
    void should_fence_a_session_without_heartbeats_for_the_ttl() throws Exception {
      // GIVEN
      start();
      // WHEN // THEN
      for (int i = 0; i < 5; i++) {
        assertThat(stateOfOther()).isEqualTo(SessionState.OPEN);
        round(false);
      }
      assertThat(stateOfOther()).isEqualTo(SessionState.FENCED);
      assertThat(watcher.tick().openVms()).isEqualTo(Set.of(A));
    }

    @Test
    void should_fence_nobody_after_an_outage() throws Exception {
      // GIVEN
      start();
      round(true);
      table.setDown(true);
      for (int i = 0; i < 600; i++) {
        round(true);
      }
      // WHEN
      table.setDown(false);
      round(false);
      round(false);
      round(true);
      // THEN
      assertThat(stateOfOther()).isEqualTo(SessionState.OPEN);
    }

    @Test
    void should_fence_nobody_while_own_heartbeats_fail_intermittently() throws Exception {
      // GIVEN
      start();
      // WHEN
      for (int i = 0; i < 40; i++) {
        if (i % 4 == 0) {
          table.failCommits("session/", Fault.REFUSED);
        }
        round(false);
      }
      // THEN
      assertThat(stateOfOther()).isEqualTo(SessionState.OPEN);
    }

    @Test
    void should_fence_nobody_after_its_own_pause() throws Exception {
      // GIVEN
      start();
      round(true);
      // WHEN
      clock.advance(Duration.ofMinutes(5));
      round(false);
      // THEN
      assertThat(stateOfOther()).isEqualTo(SessionState.OPEN);
    }

    @Test
    void should_not_fence_a_session_after_a_concurrent_heartbeat() throws Exception {
      // GIVEN
      start();
      for (int i = 0; i < 4; i++) {
        round(false);
      }
      advanceOneSecond();
      self.heartbeat();
      // WHEN
      other.heartbeat();
      table.failReads("session/", Fault.STALE);
      watcher.tick();
      // THEN
      assertThat(stateOfOther()).isEqualTo(SessionState.OPEN);
    }

    @Test
    void should_cost_one_scan_per_tick() throws Exception {
      // GIVEN
      start();
      long before = table.scans();
      // WHEN
      watcher.tick();
      // THEN
      assertThat(table.scans() - before).isEqualTo(1);
    }
  }
}
