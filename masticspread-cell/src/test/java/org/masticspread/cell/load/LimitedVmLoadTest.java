package org.masticspread.cell.load;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.cell.testing.VmCluster;
import org.masticspread.cell.testing.VmLimits;

/**
 * Load and faults on VMs with limited network links and processors.
 *
 * <p>Guards against a failure on the scaled-down copy of the users' large site (day quiet-1): 18
 * VMs with 0.12 of a core and 2 Mbit/s, 85 workers, checks at 1.8 times their rate for 4 s and
 * gangs at 1.6 times for 4 s. The leader was replaced repeatedly, each new leader was slower than
 * the previous one, and after 10 s nothing was served.
 */
class LimitedVmLoadTest {
  /** Share of the value that a user's floor requires on that day. */
  private static final double MIN_VALUE_SHARE = 0.437;

  private VmCluster cluster;

  private LoadSimulation start(Deployment deployment, VmLimits limits, long seed) {
    cluster = new VmCluster(deployment.config()).limits(limits);
    List<String> vms = IntStream.range(0, deployment.vms()).mapToObj(i -> "vm-" + i).toList();
    LoadSimulation simulation = new LoadSimulation(deployment, seed, cluster, vms);
    vms.forEach(vm -> cluster.start(vm, limits.cores()));
    cluster.time.pass(Duration.ofSeconds(4));
    return simulation;
  }

  /** Returns the scaled-down site, whose weak VMs make the leader the bottleneck. */
  private LoadSimulation smallVms(long seed) {
    return start(Deployment.site(85, 18, 0.31), VmLimits.SMALL, seed);
  }

  /** Returns the large site, with all VMs as strong as its strongest. */
  private LoadSimulation largeVms(long seed) {
    return start(Deployment.site(260, 47, 1), VmLimits.LARGE, seed);
  }

  private static LoadSimulation runBursts(LoadSimulation simulation) {
    return simulation
        .run(Duration.ofSeconds(6), kind -> 1)
        .run(Duration.ofSeconds(4), kind -> kind.queue().equals("checks") ? 1.8 : 1)
        .run(Duration.ofSeconds(3), kind -> 1)
        .run(Duration.ofSeconds(4), kind -> kind.queue().equals("layouts") ? 1.6 : 1)
        .run(Duration.ofSeconds(5), kind -> 1);
  }

  private long leaderChanges() {
    return cluster.events.stream().filter(event -> event.contains(" leader-won ")).count() - 1;
  }

  private static void assertNothingLost(LoadSimulation simulation) {
    assertThat(simulation.violations()).isEmpty();
    assertThat(simulation.stats().values())
        .allSatisfy(
            kindStats -> assertThat(kindStats.acceptedUnfinished).as("%s", kindStats).isZero());
  }

  @Nested
  class Bursts {
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void should_keep_the_first_leader_on_weak_vms(long seed) {
      // WHEN
      LoadSimulation simulation = runBursts(smallVms(seed)).end();

      // THEN
      assertNothingLost(simulation);
      assertThat(leaderChanges()).isZero();
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3})
    void should_earn_the_floor_on_weak_vms(long seed) {
      // WHEN
      LoadSimulation simulation = runBursts(smallVms(seed)).end();

      // THEN
      assertThat(simulation.valueShare())
          .as("%s", simulation.stats())
          .isGreaterThan(MIN_VALUE_SHARE);
    }

    @Test
    void should_keep_the_first_leader_and_earn_most_of_the_value_on_strong_vms() {
      // WHEN
      LoadSimulation simulation = runBursts(largeVms(1)).end();

      // THEN
      assertNothingLost(simulation);
      assertThat(leaderChanges()).isZero();
      assertThat(simulation.valueShare()).as("%s", simulation.stats()).isGreaterThan(0.7);
    }
  }

  @Nested
  class LeaderKilled {
    @ParameterizedTest
    @ValueSource(longs = {1, 2})
    void should_recover_after_one_leader_change_on_weak_vms(long seed) {
      // GIVEN
      LoadSimulation simulation = smallVms(seed).run(Duration.ofSeconds(6), kind -> 1);
      String leader = cluster.leaders().get(0);

      // WHEN
      cluster.kill(leader);
      simulation.run(Duration.ofMillis(1500), kind -> 1);
      final List<String> leaders = cluster.leaders();
      simulation.run(Duration.ofSeconds(8), kind -> 1).end();

      // THEN
      assertNothingLost(simulation);
      assertThat(leaders).hasSize(1).doesNotContain(leader);
      assertThat(leaderChanges()).isEqualTo(1);
    }
  }
}
