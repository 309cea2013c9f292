package org.masticspread.node.cell;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.masticspread.node.trial.TrialCell;
import org.masticspread.node.trial.TrialFault;
import org.masticspread.node.trial.TrialRun;

/** Crosses each fault with every promise, singly, twice in a row and in pairs. */
class FaultTableTest {
  private static final int VMS = 3;
  private static final long PAIR_SEED = 5;
  private static final int PAIRS = 20;
  private static final Duration OVERLAP = Duration.ofSeconds(2);
  private static final Duration APART = Duration.ofSeconds(25);

  @ParameterizedTest
  @EnumSource
  void should_keep_every_promise_when_one_fault_strikes(TrialFault fault) {
    // GIVEN
    TrialRun run = TrialRun.on(TrialCell.of(VMS, 1).warmUp());
    // WHEN
    List<String> broken = run.strike(fault, 2, OVERLAP).finish();
    // THEN
    assertThat(broken).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.EXCLUDE,
      names = {"VM_KILLED", "VM_STOPPED", "ENDPOINT_LEAVING"})
  void should_keep_every_promise_when_a_fault_strikes_twice(TrialFault fault) {
    // GIVEN
    TrialRun run = TrialRun.on(TrialCell.of(VMS, 2).warmUp());
    // WHEN
    List<String> broken = run.strike(fault, 2, APART).strike(fault, 2, OVERLAP).finish();
    // THEN
    assertThat(broken).isEmpty();
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void should_keep_every_promise_when_two_faults_overlap(
      TrialFault first, int firstVm, TrialFault second, int secondVm) {
    // GIVEN
    TrialRun run = TrialRun.on(TrialCell.of(VMS, 3).warmUp());
    // WHEN
    List<String> broken =
        run.strike(first, firstVm, OVERLAP).strike(second, secondVm, OVERLAP).finish();
    // THEN
    assertThat(broken).isEmpty();
  }

  static Stream<Arguments> pairs() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(PAIR_SEED);
    TrialFault[] faults = TrialFault.values();
    List<Arguments> pairs = new ArrayList<>();
    while (pairs.size() < PAIRS) {
      TrialFault first = faults[random.nextInt(faults.length)];
      TrialFault second = faults[random.nextInt(faults.length)];
      int firstVm = 1 + random.nextInt(VMS);
      int secondVm = 1 + random.nextInt(VMS);
      boolean sameVmGone = firstVm == secondVm && (first.endsVm() || second.endsVm());
      if (!sameVmGone && !(first.endsVm() && second.endsVm())) {
        pairs.add(Arguments.of(first, firstVm, second, secondVm));
      }
    }
    return pairs.stream();
  }
}
