package org.masticspread.cell.gateway;

import static org.assertj.core.api.Assertions.assertThat;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.masticspread.cell.testing.Jobs;
import org.masticspread.cell.testing.VmCluster;
import org.masticspread.model.cell.QueueRule;
import org.masticspread.model.peer.CellCall;
import org.masticspread.model.peer.CellCall.Action;
import org.masticspread.model.peer.CellReply;
import org.masticspread.model.peer.CellReply.Outcome;

/** Tests the answers to calls for the number of waiting jobs. */
class JobCountTest {
  private static final QueueRule CHECKS = Jobs.queue("checks", 0, Optional.empty());
  private static final QueueRule SLEEVES = Jobs.queue("sleeves", 1, Optional.empty());

  private final VmCluster cluster = new VmCluster(Jobs.config(CHECKS, SLEEVES));

  @BeforeEach
  void start() {
    cluster.workers.add("w1", "r1", 1000);
    cluster.start("vm-1", 1.0);
    cluster.start("vm-2", 2.0);
    cluster.start("vm-3", 0.5);
    pass(2500);
    assertThat(cluster.leaders()).containsExactly("vm-2");
  }

  private void pass(long millis) {
    cluster.time.pass(Duration.ofMillis(millis));
  }

  /** Asks for a count; each reply is added to the returned list. */
  private List<CellReply> count(long configVersion) {
    List<CellReply> replies = new ArrayList<>();
    cluster.send(
        "vm-3", new CellCall(Action.COUNT, "sleeves", configVersion, "", null), replies::add);
    return replies;
  }

  private List<List<CellReply>> countRepeatedly(int calls, long configVersion) {
    List<List<CellReply>> replies = new ArrayList<>();
    for (int i = 0; i < calls; i++) {
      replies.add(count(configVersion));
      pass(20);
    }
    return replies;
  }

  @Nested
  class DroppedQueue {
    /** Guards against a second answer, which goes to the next request of the connection. */
    @Test
    void should_answer_each_call_once_when_the_leader_is_killed_beside_the_change() {
      // GIVEN
      cluster.kill("vm-2");

      // WHEN
      List<List<CellReply>> replies = countRepeatedly(8, 1);
      cluster.configure(Jobs.config(2, CHECKS));
      replies.addAll(countRepeatedly(8, 1));
      pass(6000);

      // THEN
      assertThat(replies).allSatisfy(each -> assertThat(each).hasSize(1));
      assertThat(replies.get(0))
          .extracting(CellReply::outcome)
          .containsExactly(Outcome.UNKNOWN_QUEUE);
    }

    /** Guards against an answer by an older configuration than the one that a caller used. */
    @Test
    void should_count_for_a_caller_that_knows_the_queue_from_a_newer_configuration() {
      // GIVEN
      cluster.configure(Jobs.config(2, CHECKS));
      pass(1000);

      // WHEN
      List<CellReply> older = count(1);
      List<CellReply> newer = count(3);
      pass(1000);

      // THEN
      assertThat(older).extracting(CellReply::outcome).containsExactly(Outcome.UNKNOWN_QUEUE);
      assertThat(newer).extracting(CellReply::outcome).containsExactly(Outcome.COUNTED);
    }
  }

  @Nested
  class NoLeader {
    /** Guards against one retry more for each call that fails, while no VM leads. */
    @Test
    void should_answer_each_call_once_when_a_leader_is_found_late() {
      // GIVEN
      cluster.kill("vm-2");

      // WHEN
      List<List<CellReply>> replies = countRepeatedly(30, 1);
      pass(6000);

      // THEN
      assertThat(replies).allSatisfy(each -> assertThat(each).hasSize(1));
    }
  }
}
