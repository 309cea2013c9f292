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

/** Checks every guarantee under each fault alone, twice in a row, and in random pairs. */
class FaultTableTest {
  private static final int VMS = 3;
  private static final long PAIR_SEED = 5;
  private static final int PAIR_COUNT = 20;
  private static final Duration OVERLAPPING_INTERVAL = Duration.ofSeconds(2);
  private static final Duration SEPARATE_INTERVAL = Duration.ofSeconds(25);

  @ParameterizedTest
  @EnumSource
  void should_keep_all_guarantees_under_one_fault(TrialFault fault) {
    // GIVEN
    TrialRun run = TrialRun.on(TrialCell.of(VMS, 1).warmUp());
    // WHEN
    List<String> violations = run.strike(fault, 2, OVERLAPPING_INTERVAL).finish();
    // THEN
    assertThat(violations).isEmpty();
  }

  @ParameterizedTest
  @EnumSource(
      mode = EnumSource.Mode.EXCLUDE,
      names = {"VM_KILLED", "VM_STOPPED", "ENDPOINT_LEAVING"})
  void should_keep_all_guarantees_when_a_fault_occurs_twice(TrialFault fault) {
    // GIVEN
    TrialRun run = TrialRun.on(TrialCell.of(VMS, 2).warmUp());
    // WHEN
    List<String> violations =
        run.strike(fault, 2, SEPARATE_INTERVAL).strike(fault, 2, OVERLAPPING_INTERVAL).finish();
    // THEN
    assertThat(violations).isEmpty();
  }

  @ParameterizedTest
  @MethodSource("pairs")
  void should_keep_all_guarantees_when_two_faults_overlap(
      TrialFault first, int firstVm, TrialFault second, int secondVm) {
    // GIVEN
    TrialRun run = TrialRun.on(TrialCell.of(VMS, 3).warmUp());
    // WHEN
    List<String> violations =
        run.strike(first, firstVm, OVERLAPPING_INTERVAL)
            .strike(second, secondVm, OVERLAPPING_INTERVAL)
            .finish();
    // THEN
    assertThat(violations).isEmpty();
  }

  static Stream<Arguments> pairs() {
    UniformRandomProvider random = RandomSource.XO_SHI_RO_256_PP.create(PAIR_SEED);
    TrialFault[] faults = TrialFault.values();
    List<Arguments> pairs = new ArrayList<>();
    while (pairs.size() < PAIR_COUNT) {
      TrialFault first = faults[random.nextInt(faults.length)];
      TrialFault second = faults[random.nextInt(faults.length)];
      int firstVm = 1 + random.nextInt(VMS);
      int secondVm = 1 + random.nextInt(VMS);
      boolean sameVmEnds = firstVm == secondVm && (first.endsVm() || second.endsVm());
      if (!sameVmEnds && !(first.endsVm() && second.endsVm())) {
        pairs.add(Arguments.of(first, firstVm, second, secondVm));
      }
    }
    return pairs.stream();
  }
}
