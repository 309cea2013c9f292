package org.masticspread.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.masticspread.model.id.VmId;
import org.masticspread.state.history.HistoryEvent;
import org.masticspread.state.testing.Fault;
import org.masticspread.state.testing.Samples;
import org.masticspread.state.testing.TestCluster;
import org.masticspread.state.testing.TestVm;

/**
 * Combines every scenario with every store fault on every kind of key: one fault, two consecutive
 * faults, and faults on pairs of targets.
 */
class FaultTableTest {
  private static final List<String> TARGETS =
      List.of("incarnation/", "session/", "fence/", "shard/", "journal/", "objects");

  private static final List<Fault> FAULTS =
      List.of(Fault.REFUSED, Fault.ERROR_BEFORE, Fault.ERROR_AFTER, Fault.LATE_EFFECT, Fault.SLOW);

  /** The change to the VMs while the store fails. */
  enum Scenario {
    STEADY,
    VM_KILLED,
    VM_RESTARTED,
    VM_JOINS,
    VM_LEAVES,
    VM_PAUSED;

    void change(TestCluster cluster) {
      switch (this) {
        case VM_KILLED -> cluster.kill("vm-b");
        case VM_RESTARTED -> cluster.start("vm-b");
        case VM_JOINS -> cluster.start("vm-d");
        case VM_LEAVES -> cluster.leave("vm-b");
        case VM_PAUSED -> cluster.pause("vm-b");
        default -> cluster.run(1);
      }
    }
  }

  private static TestCluster startedCluster() {
    return startedCluster(new TestCluster());
  }

  private static TestCluster startedCluster(TestCluster cluster) {
    Stream.of("vm-a", "vm-b", "vm-c").forEach(cluster::start);
    cluster.run(4);
    return cluster;
  }

  private static void submitWork(TestCluster cluster, int round) {
    for (TestVm vm : cluster.vms()) {
      if (cluster.isRunning(vm.id().value())) {
        for (int i = 0; i < 3; i++) {
          vm.submit(Samples.job("job-" + round + "-" + i, 2, true));
          String request = "request-" + round + "-" + i;
          vm.run(
              Samples.request(
                  request, request, cluster.clock().instant().plus(Duration.ofSeconds(9))));
        }
      }
    }
  }

  static Stream<Arguments> combinations() {
    List<Arguments> combinations = new ArrayList<>();
    for (Scenario scenario : Scenario.values()) {
      for (String target : TARGETS) {
        for (Fault first : FAULTS) {
          combinations.add(Arguments.of(scenario, target, List.of(first)));
          FAULTS.forEach(
              second -> combinations.add(Arguments.of(scenario, target, List.of(first, second))));
        }
      }
    }
    return combinations.stream();
  }

  private static void inject(TestCluster cluster, String target, List<Fault> faults) {
    Fault[] faultArray = faults.toArray(new Fault[0]);
    if (target.equals("objects")) {
      cluster.objects().failCalls(faultArray);
      return;
    }
    cluster.table().failCommits(target, faultArray);
    cluster.table().failReads(target, faultArray);
  }

  @Nested
  class OneStoreFault {
    @ParameterizedTest(name = "{0} {1} {2}")
    @MethodSource("org.masticspread.state.FaultTableTest#combinations")
    void should_violate_no_guarantee(Scenario scenario, String target, List<Fault> faults) {
      // GIVEN
      TestCluster cluster = startedCluster();
      submitWork(cluster, 0);
      inject(cluster, target, faults);
      // WHEN
      scenario.change(cluster);
      for (int round = 1; round < 12; round++) {
        submitWork(cluster, round % 4);
        cluster.run(1);
      }
      cluster.healAndConverge();
      // THEN
      assertThat(cluster.violations()).isEmpty();
      assertThat(cluster.history()).anyMatch(HistoryEvent.RequestRan.class::isInstance);
    }

    static Stream<Arguments> pairs() {
      List<Arguments> pairs = new ArrayList<>();
      for (Scenario scenario : Scenario.values()) {
        for (String first : TARGETS) {
          for (String second : TARGETS) {
            pairs.add(Arguments.of(scenario, first, second));
          }
        }
      }
      return pairs.stream();
    }

    @ParameterizedTest(name = "{0} {1} {2}")
    @MethodSource("pairs")
    void should_violate_no_guarantee_with_two_targets(
        Scenario scenario, String first, String second) {
      // GIVEN
      TestCluster cluster = startedCluster();
      inject(cluster, first, List.of(Fault.ERROR_AFTER, Fault.LATE_EFFECT));
      inject(cluster, second, List.of(Fault.ERROR_BEFORE, Fault.ERROR_AFTER, Fault.SLOW));
      // WHEN
      scenario.change(cluster);
      for (int round = 1; round < 12; round++) {
        submitWork(cluster, round % 4);
        cluster.run(1);
      }
      cluster.healAndConverge();
      // THEN
      assertThat(cluster.violations()).isEmpty();
    }
  }

  @Nested
  class LongOutage {
    @ParameterizedTest
    @MethodSource("org.masticspread.state.FaultTableTest#scenarios")
    void should_fence_no_live_vm_and_lose_no_work(Scenario scenario) {
      // GIVEN
      TestCluster cluster = startedCluster();
      submitWork(cluster, 0);
      cluster.run(2);
      final List<String> fences = cluster.table().keys("fence/");
      // WHEN
      cluster.vms().forEach(TestVm::watch);
      cluster.table().setDown(true);
      cluster.objects().setDown(true);
      submitWork(cluster, 1);
      cluster.run(3_600);
      cluster.table().setDown(false);
      cluster.objects().setDown(false);
      cluster.run(10);
      // THEN
      assertThat(cluster.vms()).noneMatch(vm -> vm.keeper().isFenced());
      assertThat(cluster.table().keys("fence/")).isEqualTo(fences);
      // WHEN
      scenario.change(cluster);
      submitWork(cluster, 2);
      cluster.run(12);
      cluster.healAndConverge();
      // THEN
      assertThat(cluster.violations()).isEmpty();
    }

    @Test
    void should_take_over_while_the_object_store_is_down() {
      // GIVEN
      TestCluster cluster = startedCluster();
      submitWork(cluster, 0);
      cluster.run(2);
      cluster.objects().setDown(true);
      // WHEN
      cluster.kill("vm-b");
      cluster.run(9);
      // THEN
      assertThat(cluster.violations()).isEmpty();
      assertThat(cluster.vms()).extracting(TestVm::id).doesNotContain(VmId.of("vm-b"));
    }
  }

  @Nested
  class ManyTakeovers {
    @Test
    void should_replay_all_sources_while_the_object_store_is_down() {
      // GIVEN
      TestCluster cluster = startedCluster(new TestCluster(1_000_000));
      cluster.objects().setDown(true);
      // WHEN
      for (int round = 0; round < 9; round++) {
        submitWork(cluster, round);
        cluster.run(2);
        cluster.start(List.of("vm-a", "vm-b", "vm-c").get(round % 3));
        cluster.run(3);
      }
      // THEN
      cluster.run(12);
      assertThat(cluster.violations()).isEmpty();
      // WHEN
      cluster.healAndConverge();
      // THEN
      assertThat(cluster.violations()).isEmpty();
      assertThat(cluster.table().keys("fence/")).hasSize(3);
      assertThat(cluster.table().keys("snapshot/")).hasSize(4);
    }
  }

  static Stream<Scenario> scenarios() {
    return Stream.of(Scenario.values());
  }

  @Nested
  class Takeover {
    @ParameterizedTest
    @MethodSource("targets")
    void should_serve_again_within_ten_seconds(String killed) {
      // GIVEN
      TestCluster cluster = startedCluster();
      submitWork(cluster, 0);
      cluster.run(20);
      // WHEN
      cluster.kill(killed);
      cluster.run(9);
      // THEN
      assertThat(cluster.violations()).isEmpty();
    }

    static Stream<String> targets() {
      return Stream.of("vm-a", "vm-b", "vm-c");
    }
  }
}
