package org.masticspread.policy.jobs;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.policy.placement.Samples.START;
import static org.masticspread.policy.placement.Samples.job;
import static org.masticspread.policy.placement.Samples.size;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import net.jqwik.api.ForAll;
import net.jqwik.api.Group;
import net.jqwik.api.Property;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.TaskKey;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.peer.PlaceOutcome;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.peer.TeamUsage;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.estimate.Estimates;
import org.masticspread.policy.placement.Samples;

class JobQueueTest {
  private static final ResourceVector ONE = size(1, 1);

  private final Samples.Clock clock = new Samples.Clock();

  private JobQueue queue(List<TeamConfig> teams) {
    List<WorkerConfig> workers = new ArrayList<>();
    for (int rack = 0; rack < 4; rack++) {
      workers.add(Samples.worker(rack, "rack" + rack, size(16, 32)));
    }
    return new JobQueue(new Estimates(), clock, 7).configure(Samples.configuration(teams, workers));
  }

  private static RackDigest digest(int rack, int freeCores, long epoch, TeamUsage... usage) {
    ResourceVector free = size(freeCores, 2 * freeCores);
    return new RackDigest(
        RackId.of("rack" + rack), epoch, free, free, size(16, 32), List.of(usage));
  }

  private static List<RackDigest> digests(int freeCores, long epoch) {
    return List.of(
        digest(0, freeCores, epoch),
        digest(1, freeCores, epoch),
        digest(2, freeCores, epoch),
        digest(3, freeCores, epoch));
  }

  private JobSpec submit(JobQueue queue, String team, String name, Urgency urgency, int tasks) {
    return submit(queue, team, name, JobKind.BATCH, urgency, tasks, null);
  }

  private JobSpec submit(
      JobQueue queue,
      String team,
      String name,
      JobKind kind,
      Urgency urgency,
      int tasks,
      Instant deadline) {
    JobSpec spec = Samples.spec(job(team, name), kind, urgency, tasks, ONE, deadline);
    for (int i = 0; i < tasks; i++) {
      queue.add(spec, clock.now, i, 1);
    }
    return spec;
  }

  private static Map<String, Long> byTeam(PickResult picks) {
    return picks.tasks().stream()
        .collect(Collectors.groupingBy(a -> a.job().key().team().value(), Collectors.counting()));
  }

  @Nested
  class Pick {
    @ParameterizedTest
    @CsvSource({
      "1, 0, URGENT, 1, 0, URGENT, 6, 6",
      "3, 0, URGENT, 1, 0, URGENT, 9, 3",
      "1, 0, URGENT, 1, 0, NORMAL, 12, 0",
      "9, 0, URGENT, 1, 0.05, DEFERRABLE, 8, 4",
      "1, 0, NORMAL, 1, 0, DEFERRABLE, 12, 0"
    })
    void should_share_by_floor_then_urgency_then_weight(
        int weightA,
        double floorA,
        Urgency urgencyA,
        int weightB,
        double floorB,
        Urgency urgencyB,
        long expectedA,
        long expectedB) {
      // GIVEN
      JobQueue queue =
          queue(
              List.of(
                  Samples.team("a", weightA, floorA, null),
                  Samples.team("b", weightB, floorB, null)));
      submit(queue, "a", "job", urgencyA, 20);
      submit(queue, "b", "job", urgencyB, 20);
      // WHEN
      Map<String, Long> picked = byTeam(queue.pick(digests(3, 1), 99));
      // THEN
      assertThat(picked.getOrDefault("a", 0L)).isEqualTo(expectedA);
      assertThat(picked.getOrDefault("b", 0L)).isEqualTo(expectedB);
    }

    @ParameterizedTest
    @CsvSource({"SERVICE, 4, 1", "SERVICE, 8, 2"})
    void should_spread_services_over_racks(JobKind kind, int tasks, long perRack) {
      // GIVEN
      JobQueue queue = queue(List.of(Samples.team("a", 1, 0, null)));
      submit(queue, "a", "job", kind, Urgency.NORMAL, tasks, null);
      // WHEN
      Map<RackId, Long> racks =
          queue.pick(digests(16, 1), 99).tasks().stream()
              .collect(Collectors.groupingBy(Assignment::rack, Collectors.counting()));
      // THEN
      assertThat(racks)
          .hasSize(4)
          .allSatisfy((rack, count) -> assertThat(count).isEqualTo(perRack));
    }

    @Test
    void should_pick_a_gang_as_a_whole() {
      // GIVEN
      JobQueue queue = queue(List.of(Samples.team("a", 1, 0, size(8, 99))));
      JobSpec small = submit(queue, "a", "small", JobKind.GANG, Urgency.NORMAL, 6, null);
      JobSpec large = submit(queue, "a", "large", JobKind.GANG, Urgency.NORMAL, 9, null);
      // WHEN
      PickResult picks = queue.pick(digests(16, 1), 99);
      // THEN
      assertThat(picks.gangs()).extracting(GangStart::job).containsExactly(small);
      assertThat(picks.gangs().get(0).attempts()).hasSize(6);
      assertThat(queue.reason(new TaskKey(large.key(), 0))).contains(WaitReason.QUOTA);
      queue.requeue(picks.gangs().get(0));
      assertThat(queue.pick(digests(16, 2), 99).gangs()).hasSize(1);
    }

    @Test
    void should_ask_a_rack_again_only_after_a_new_digest() {
      // GIVEN
      JobQueue queue = queue(List.of(Samples.team("a", 1, 0, null)));
      submit(queue, "a", "job", Urgency.URGENT, 1);
      // WHEN
      for (int i = 0; i < 4; i++) {
        PickResult picks = queue.pick(digests(16, 1), 9);
        picks.tasks().forEach(a -> queue.requeue(a, PlaceOutcome.NO_ROOM));
      }
      // THEN
      assertThat(queue.pick(digests(16, 1), 9).tasks()).isEmpty();
      assertThat(queue.reason(new TaskKey(job("a", "job"), 0))).contains(WaitReason.NO_ROOM);
      assertThat(queue.pick(digests(16, 2), 9).tasks()).hasSize(1);
    }
  }

  @Group
  @Nested
  class Shares {
    /** Deferrable work with a deadline must start in time despite a flood of urgent work. */
    @ParameterizedTest
    @CsvSource({"a, 1", "b, 1", "a, 50", "b, 50"})
    void should_start_deferrable_work_before_its_latest_start(String flooding, int flood) {
      // GIVEN
      JobQueue queue = queue(List.of(Samples.team("a", 1, 0, null), Samples.team("b", 1, 0, null)));
      Instant deadline = START.plus(Duration.ofMinutes(11));
      submit(queue, "a", "due", JobKind.BATCH, Urgency.DEFERRABLE, 60, deadline);
      List<Assignment> due = new ArrayList<>();
      // WHEN
      for (int second = 0; second < 600; second++) {
        submit(queue, flooding, "flood" + second, Urgency.URGENT, flood);
        queue.pick(digests(1, second), 1).tasks().stream()
            .filter(a -> a.job().urgency() == Urgency.DEFERRABLE)
            .forEach(due::add);
        clock.plus(Duration.ofSeconds(1));
      }
      // THEN
      assertThat(due).hasSize(60);
    }

    @Property(seed = "43", tries = 100)
    void should_never_exceed_quotas_and_pick_each_task_once(@ForAll long seed) {
      // GIVEN
      SplittableRandom random = new SplittableRandom(seed);
      JobQueue queue =
          queue(
              List.of(Samples.team("a", 1, 0, size(5, 99)), Samples.team("b", 2, 0.2, size(9, 9))));
      Map<TaskKey, Assignment> held = new HashMap<>();
      Map<TeamId, Integer> quota = Map.of(TeamId.of("a"), 5, TeamId.of("b"), 9);
      for (int round = 0; round < 30; round++) {
        Urgency urgency = Urgency.values()[random.nextInt(3)];
        submit(queue, random.nextBoolean() ? "a" : "b", "job" + round, urgency, 6);
        // WHEN
        PickResult picks = queue.pick(digestsOf(held, round), 1 + random.nextInt(20));
        for (Assignment picked : picks.tasks()) {
          assertThat(held.put(picked.task(), picked)).isNull();
        }
        // THEN
        quota.forEach((team, limit) -> assertThat(count(held, team)).isLessThanOrEqualTo(limit));
        held.values().removeIf(a -> random.nextInt(3) == 0);
        if (random.nextInt(5) == 0) {
          queue.cancel(job("a", "job" + round));
          queue.cancel(job("b", "job" + round));
        }
      }
    }

    private static int count(Map<TaskKey, Assignment> held, TeamId team) {
      return (int) held.keySet().stream().filter(t -> t.job().team().equals(team)).count();
    }

    private static List<RackDigest> digestsOf(Map<TaskKey, Assignment> held, long epoch) {
      List<RackDigest> digests = new ArrayList<>();
      for (int rack = 0; rack < 4; rack++) {
        RackId name = RackId.of("rack" + rack);
        Map<TeamId, ResourceVector> usage = new HashMap<>();
        held.values().stream()
            .filter(a -> a.rack().equals(name))
            .forEach(a -> usage.merge(a.job().key().team(), ONE, ResourceVector::plus));
        int used = (int) held.values().stream().filter(a -> a.rack().equals(name)).count();
        TeamUsage[] reported =
            usage.entrySet().stream()
                .map(e -> new TeamUsage(e.getKey(), e.getValue()))
                .toArray(TeamUsage[]::new);
        digests.add(digest(rack, 16 - used, epoch, reported));
      }
      return digests;
    }
  }

  @Nested
  class Cancel {
    @Test
    void should_cancel_many_jobs_and_accept_the_same_jobs_again() {
      // GIVEN
      JobQueue queue = queue(List.of(Samples.team("a", 1, 0, null)));
      List<JobKey> cancelled = new ArrayList<>();
      for (int i = 0; i < 10_000; i++) {
        cancelled.add(submit(queue, "a", "job" + i, Urgency.NORMAL, 1).key());
      }
      // WHEN
      assertThat(cancelled).allMatch(queue::cancel);
      // THEN
      assertThat(queue.waiting()).isZero();
      submit(queue, "a", "job0", Urgency.NORMAL, 1);
      assertThat(queue.pick(digests(16, 1), 9).tasks())
          .extracting(a -> a.job().key())
          .containsExactly(cancelled.get(0));
    }

    @Test
    void should_not_requeue_tasks_of_a_cancelled_job() {
      // GIVEN
      JobQueue queue = queue(List.of(Samples.team("a", 1, 0, null)));
      JobSpec spec = submit(queue, "a", "job", Urgency.NORMAL, 1);
      Assignment assigned = queue.pick(digests(16, 1), 9).tasks().get(0);
      // WHEN
      queue.cancel(spec.key());
      queue.requeue(assigned, PlaceOutcome.NO_ROOM);
      // THEN
      assertThat(queue.waiting()).isZero();
      assertThat(queue.reason(assigned.task())).isEmpty();
    }
  }
}
