package org.masticspread.state;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import org.masticspread.state.testing.Fault;
import org.masticspread.state.testing.Samples;
import org.masticspread.state.testing.TestCluster;
import org.masticspread.state.testing.TestVm;

/** Runs VMs in random interleavings with random faults on a virtual clock. */
class InterleavingTest {
  private static final List<String> VMS = List.of("vm-a", "vm-b", "vm-c", "vm-d");
  private static final List<String> PREFIXES =
      List.of("incarnation/", "session/", "fence/", "shard/", "journal/");

  /** The kinds of steps in a run. */
  enum Kind {
    STEP,
    STEP_ALL,
    FLUSH,
    SUBMIT,
    REQUEST,
    KILL,
    START,
    PAUSE,
    RESUME,
    LEAVE,
    COMMIT_FAULT,
    READ_FAULT,
    OBJECT_FAULT,
    STORE_DOWN,
    STORE_UP,
    WAIT
  }

  private record Step(Kind kind, String vm, int number, String prefix, Fault fault) {}

  @Provide
  Arbitrary<List<Step>> runs() {
    Arbitrary<Kind> kinds =
        Arbitraries.frequencyOf(
            Tuple.of(6, Arbitraries.of(Kind.STEP, Kind.SUBMIT, Kind.REQUEST)),
            Tuple.of(5, Arbitraries.of(Kind.STEP_ALL, Kind.FLUSH)),
            Tuple.of(2, Arbitraries.of(Kind.COMMIT_FAULT, Kind.READ_FAULT)),
            Tuple.of(2, Arbitraries.of(Kind.values())));
    return Combinators.combine(
            kinds,
            Arbitraries.of(VMS),
            Arbitraries.integers().between(0, 9),
            Arbitraries.of(PREFIXES),
            Arbitraries.of(Fault.values()))
        .as(Step::new)
        .list()
        .ofMinSize(60)
        .ofMaxSize(160);
  }

  @Property(seed = "41", tries = 400)
  void should_keep_every_guarantee(@ForAll("runs") List<Step> steps) {
    // GIVEN
    TestCluster cluster = new TestCluster();
    VMS.subList(0, 3).forEach(cluster::start);
    cluster.run(3);
    // WHEN
    steps.forEach(step -> apply(cluster, step));
    VMS.stream().filter(name -> cluster.vm(name) == null).forEach(cluster::start);
    cluster.healAndConverge();
    // THEN
    assertThat(cluster.violations()).isEmpty();
  }

  private static void apply(TestCluster cluster, Step step) {
    TestVm vm = cluster.vm(step.vm());
    switch (step.kind()) {
      case STEP_ALL -> cluster.run(1 + step.number() / 3);
      case KILL -> cluster.kill(step.vm());
      case START -> cluster.start(step.vm());
      case PAUSE -> cluster.pause(step.vm());
      case RESUME -> cluster.resume(step.vm());
      case LEAVE -> cluster.leave(step.vm());
      case COMMIT_FAULT -> cluster.table().failCommits(step.prefix(), step.fault());
      case READ_FAULT -> cluster.table().failReads(step.prefix(), readFault(step));
      case OBJECT_FAULT -> cluster.objects().failCalls(step.fault());
      case STORE_DOWN -> cluster.table().setDown(step.number() < 5);
      case STORE_UP -> cluster.table().setDown(false);
      case WAIT -> cluster.clock().advance(Duration.ofMillis(700L * step.number()));
      default -> {
        if (vm != null) {
          applyToVm(cluster, vm, step);
        }
      }
    }
  }

  /**
   * Replaces stale reads of all rows other than session and shard rows by refused ones, because a
   * transactional table never returns stale journal or fence rows.
   */
  private static Fault readFault(Step step) {
    boolean mayBeStale = step.prefix().equals("session/") || step.prefix().equals("shard/");
    return step.fault() == Fault.STALE && !mayBeStale ? Fault.REFUSED : step.fault();
  }

  private static void applyToVm(TestCluster cluster, TestVm vm, Step step) {
    String name = "work-" + step.number();
    switch (step.kind()) {
      case FLUSH -> vm.flush();
      case SUBMIT -> vm.submit(Samples.job(name, 2, true));
      case REQUEST ->
          vm.run(
              Samples.request(name, name, cluster.clock().instant().plus(Duration.ofSeconds(30))));
      default -> vm.step();
    }
  }
}
