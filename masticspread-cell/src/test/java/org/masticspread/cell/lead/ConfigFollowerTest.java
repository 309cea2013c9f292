package org.masticspread.cell.lead;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.cell.testing.VmCluster;
import org.masticspread.model.cell.CellConfig;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;

/** Tests that each VM applies a configuration within the time promised to operators. */
class ConfigFollowerTest {
  /** From the acknowledgement by the store until a configuration is in force on each VM. */
  private static final Duration APPLY_BOUND = Duration.ofSeconds(2);

  /** From the effect of a configuration until no older one decides on any VM. */
  private static final Duration DOWNGRADE_BOUND = Duration.ofMillis(250);

  private static final List<String> VMS = List.of("vm-1", "vm-2", "vm-3");

  private final VmCluster cluster = new VmCluster(config(1));

  private static CellConfig config(long version) {
    return Jobs.config(version, Jobs.queue("checks", 0, Optional.empty()));
  }

  @BeforeEach
  void start() {
    cluster.workers.add("w1", "r1", 8000);
    cluster.start("vm-1", 1.0);
    cluster.start("vm-2", 2.0);
    cluster.start("vm-3", 0.5);
    pass(Duration.ofMillis(2500));
  }

  private void pass(Duration duration) {
    cluster.time.pass(duration);
  }

  private List<Long> versions() {
    return VMS.stream()
        .map(name -> cluster.vm(name).config().map(CellConfig::version).orElse(0L))
        .toList();
  }

  @Nested
  class SilentConnections {
    @ParameterizedTest
    @ValueSource(ints = {0, 100, 500, 900, 1300, 2000, 3000})
    void should_apply_a_change_in_time_when_all_open_connections_go_silent(int millisBefore) {
      // GIVEN
      cluster.silenceConnections();
      pass(Duration.ofMillis(millisBefore));

      // WHEN
      cluster.configure(config(2));
      pass(APPLY_BOUND);

      // THEN
      assertThat(versions()).containsOnly(2L);
    }
  }

  @Nested
  class SlowStore {
    @ParameterizedTest
    @ValueSource(ints = {200, 500, 900})
    void should_apply_a_change_when_each_answer_of_the_store_is_slow(int delayMillis) {
      // GIVEN
      VMS.forEach(name -> cluster.storeDelay(name, Duration.ofMillis(delayMillis)));
      pass(Duration.ofSeconds(10));

      // WHEN
      cluster.configure(config(2));
      pass(APPLY_BOUND.plusMillis(delayMillis));

      // THEN
      assertThat(versions()).containsOnly(2L);
    }
  }

  @Nested
  class StoreTurnsVmsAway {
    @Test
    void should_apply_a_change_that_only_other_vms_can_read() {
      // GIVEN
      cluster.cutFromStore("vm-1", true);
      cluster.cutFromStore("vm-3", true);
      pass(Duration.ofSeconds(6));

      // WHEN
      cluster.configure(config(2));
      pass(APPLY_BOUND);

      // THEN
      assertThat(versions()).containsOnly(2L);
    }

    @Test
    void should_apply_a_change_from_a_vm_that_does_not_lead() {
      // GIVEN
      cluster.cutFromStore("vm-3", true);
      cluster.cutLink("vm-3", "vm-2", true);
      pass(Duration.ofSeconds(6));

      // WHEN
      cluster.configure(config(2));
      pass(APPLY_BOUND);

      // THEN
      assertThat(versions()).containsOnly(2L);
    }

    @Test
    void should_keep_a_newer_version_when_a_vm_with_an_older_one_answers() {
      // GIVEN
      cluster.cutFromStore("vm-3", true);
      cluster.cutFromPeers("vm-3", true);
      pass(Duration.ofSeconds(6));
      cluster.configure(config(2));
      pass(APPLY_BOUND);
      assertThat(versions()).containsExactly(2L, 2L, 1L);

      // WHEN
      cluster.cutFromPeers("vm-3", false);
      cluster.cutFromStore("vm-1", true);
      cluster.cutFromStore("vm-2", true);
      pass(APPLY_BOUND);

      // THEN
      assertThat(versions()).containsOnly(2L);
    }
  }

  @Nested
  class AnswerOfLeader {
    /** More VMs than probe the leader often. */
    private static final int VM_COUNT = 12;

    @ParameterizedTest
    @ValueSource(ints = {0, 200, 400, 600, 800})
    void should_apply_the_version_of_an_answer_soon(int millisBefore) {
      // GIVEN a VM that probes the leader once per second and does not reach the store
      for (int i = 4; i <= VM_COUNT; i++) {
        cluster.start("vm-" + i, 1.0);
      }
      cluster.cutFromStore("vm-3", true);
      pass(Duration.ofSeconds(6).plusMillis(millisBefore));
      cluster.configure(config(2));
      pass(Duration.ofMillis(50));

      // WHEN
      cluster.call("vm-3", Action.SHOW, "a", null);
      pass(DOWNGRADE_BOUND);

      // THEN
      assertThat(versions()).containsOnly(2L);
    }
  }

  @Nested
  class DroppedQueue {
    @ParameterizedTest
    @EnumSource(
        value = Action.class,
        names = {"COUNT", "SHOW"})
    void should_tell_callers_of_a_vm_that_is_behind_that_the_queue_is_unknown(Action action) {
      // GIVEN
      cluster.silencePolls("vm-3", "op");
      cluster.configure(Jobs.config(2, Jobs.queue("other", 0, Optional.empty())));
      pass(Duration.ofMillis(50));
      assertThat(versions()).containsExactly(2L, 2L, 1L);

      // WHEN
      List<CellReply> replies = cluster.call("vm-3", action, "a", null);
      pass(Duration.ofMillis(50));

      // THEN
      assertThat(replies).extracting(CellReply::outcome).containsExactly(Outcome.UNKNOWN_QUEUE);
    }
  }

  @Nested
  class NewLeader {
    @Test
    void should_not_lead_by_an_older_version_than_the_former_leader() {
      // GIVEN
      cluster.silencePolls("vm-1", "op");
      cluster.silencePolls("vm-3", "op");
      cluster.configure(config(2));
      pass(Duration.ofMillis(50));
      assertThat(versions()).containsExactly(1L, 2L, 1L);

      // WHEN
      cluster.kill("vm-2");
      while (cluster.leaders().isEmpty()) {
        pass(Duration.ofMillis(1));
      }

      // THEN
      assertThat(cluster.leaders()).containsExactly("vm-1");
      assertThat(cluster.vm("vm-1").config().map(CellConfig::version)).contains(2L);
    }
  }
}
