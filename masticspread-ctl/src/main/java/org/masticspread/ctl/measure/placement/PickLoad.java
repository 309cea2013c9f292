package org.masticspread.ctl.measure.placement;

import java.time.Duration;
import java.time.Instant;
import java.time.InstantSource;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.config.TeamConfig;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.JobId;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.RackId;
import org.masticspread.model.id.TeamId;
import org.masticspread.model.id.WorkClassId;
import org.masticspread.model.peer.RackDigest;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.Payload;
import org.masticspread.model.work.Urgency;
import org.masticspread.policy.estimate.Estimates;
import org.masticspread.policy.jobs.JobQueue;
import org.masticspread.policy.jobs.PickResult;

/** A load that picks tasks from a queue of 34 teams for the racks of the cell of 550 workers. */
final class PickLoad {
  private static final int TEAMS = 34;
  private static final int TASKS_PER_JOB = 8;
  private static final int JOBS = 2_000;
  private static final int PICK_LIMIT = 64;
  private static final int WARM_UP_ROUNDS = 400;
  private static final int TIMED_ROUNDS = 1_000;
  private static final Instant START = Instant.EPOCH;

  private final SplittableRandom random;
  private final Cell cell = Cell.later();
  private final JobQueue queue;
  private final List<RackDigest> digests;
  private int created;

  PickLoad(long seed) {
    random = new SplittableRandom(seed);
    queue = new JobQueue(new Estimates(), InstantSource.fixed(START), seed);
    queue.configure(configuration());
    digests = digests();
    for (int i = 0; i < JOBS; i++) {
      submit();
    }
  }

  private Configuration configuration() {
    List<TeamConfig> teams = new ArrayList<>();
    for (int i = 0; i < TEAMS; i++) {
      ResourceVector quota = cell.capacity();
      teams.add(new TeamConfig(team(i), Cell.POOL, 1 + i % 4, 0.02, quota, false));
    }
    return new Configuration(1, List.of(), teams, List.of(), List.of(), cell.workers());
  }

  private static TeamId team(int number) {
    return TeamId.of("team" + number);
  }

  private List<RackDigest> digests() {
    Map<RackId, ResourceVector> capacity = new HashMap<>();
    Map<RackId, ResourceVector> largestHole = new HashMap<>();
    for (WorkerConfig worker : cell.workers()) {
      capacity.merge(worker.rack(), worker.capacity(), ResourceVector::plus);
      largestHole.put(worker.rack(), worker.capacity());
    }
    return capacity.entrySet().stream()
        .map(e -> digest(e.getKey(), e.getValue(), largestHole.get(e.getKey())))
        .toList();
  }

  private static RackDigest digest(
      RackId rack, ResourceVector capacity, ResourceVector largestHole) {
    return new RackDigest(rack, 1, capacity, largestHole, capacity, List.of());
  }

  private void submit() {
    Urgency urgency = Urgency.values()[random.nextInt(Urgency.values().length)];
    JobSpec spec =
        new JobSpec(
            new JobKey(team(random.nextInt(TEAMS)), JobId.of("job" + created++)),
            WorkClassId.of("batch"),
            random.nextInt(5) == 0 ? JobKind.SERVICE : JobKind.BATCH,
            urgency,
            TASKS_PER_JOB,
            new ResourceVector(500, 1L << 30, 0),
            Duration.ofMinutes(1),
            START.plus(Duration.ofHours(1 + random.nextInt(8))),
            true,
            3,
            Payload.EMPTY);
    for (int i = 0; i < TASKS_PER_JOB; i++) {
      queue.add(spec, START, i, 1);
    }
  }

  /** Picks tasks in rounds and returns the time for each task. */
  DecisionRow row() {
    DecisionTimer timer = new DecisionTimer("pick");
    for (int i = -WARM_UP_ROUNDS; i < TIMED_ROUNDS; i++) {
      if (i == 0) {
        timer.reset();
      }
      List<RackDigest> current = withNewEpoch(i);
      long start = System.nanoTime();
      PickResult picks = queue.pick(current, PICK_LIMIT);
      long elapsed = System.nanoTime() - start;
      if (picks.tasks().isEmpty()) {
        throw new IllegalStateException("decisions: no task was picked");
      }
      timer.add(elapsed, picks.tasks().size());
      for (int job = 0; job < PICK_LIMIT / TASKS_PER_JOB; job++) {
        submit();
      }
    }
    return timer.row();
  }

  /**
   * Returns the digests with a new epoch, so that the room assigned so far counts as free again.
   */
  private List<RackDigest> withNewEpoch(int round) {
    return digests.stream()
        .map(
            d ->
                new RackDigest(d.rack(), round, d.free(), d.largestHole(), d.capacity(), d.usage()))
        .toList();
  }
}
