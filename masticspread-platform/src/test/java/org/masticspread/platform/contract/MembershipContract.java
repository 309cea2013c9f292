package org.masticspread.platform.contract;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;

import java.time.Duration;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.masticspread.model.id.DataCentreId;
import org.masticspread.model.id.VmId;
import org.masticspread.model.platform.Member;
import org.masticspread.model.platform.MembershipView;
import org.masticspread.model.platform.StoreException;

/** Contract of every membership list. */
abstract class MembershipContract extends PlatformContract {
  private static Member member(String vm, boolean leaving) {
    return new Member(VmId.of(vm), DataCentreId.of("d"), "127.0.0.1:1", leaving);
  }

  @Test
  void should_show_changes_after_the_lag() throws Exception {
    // GIVEN
    platform.membership.register(member("v1", false));
    platform.membership.register(member("v2", false));
    platform.time.advance(PlatformFixture.LAG);
    platform.membership.register(member("v1", true));
    platform.membership.deregister(VmId.of("v2"));
    platform.memoryMembership.leave(PlatformFixture.ENDPOINT);
    platform.memoryMembership.remove(PlatformFixture.WORKER);

    // WHEN
    MembershipView before = platform.membership.read();
    platform.time.advance(PlatformFixture.LAG);
    MembershipView after = platform.membership.read();
    platform.faults.on("membership.read").times(1).stale(Duration.ofMillis(1));
    MembershipView stale = platform.membership.read();

    // THEN
    assertThat(before.members()).containsExactly(member("v1", false), member("v2", false));
    assertThat(stale).isEqualTo(before);
    assertThat(after)
        .isEqualTo(
            new MembershipView(
                List.of(member("v1", true)),
                List.of(PlatformFixture.ENDPOINT),
                List.of(),
                List.of(PlatformFixture.WORKER)));
  }

  @Test
  void should_be_down_only_within_the_time_window() throws Exception {
    // GIVEN
    platform
        .faults
        .on("membership")
        .between(platform.time.instant(), platform.time.instant().plusSeconds(60))
        .down();

    // WHEN / THEN
    assertThatThrownBy(() -> platform.membership.read())
        .isInstanceOfSatisfying(
            StoreException.class,
            e -> assertThat(e.effect()).isEqualTo(StoreException.Effect.NONE));
    platform.time.advance(Duration.ofSeconds(60));
    assertThat(platform.membership.read().members()).isEmpty();
  }
}
