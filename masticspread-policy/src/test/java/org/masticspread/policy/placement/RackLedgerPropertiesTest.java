package org.masticspread.policy.placement;

import static org.assertj.core.api.Assertions.assertThat;
import static org.masticspread.policy.placement.Samples.attempt;
import static org.masticspread.policy.placement.Samples.job;
import static org.masticspread.policy.placement.Samples.size;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.masticspread.model.config.WorkerConfig;
import org.masticspread.model.id.JobKey;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.Urgency;

class RackLedgerPropertiesTest {
  private static final ResourceVector CAPACITY = size(16, 32);

  /** The naive ledger: sums up, for each worker, what was placed there and has not ended. */
  private static final class Naive {
    private final Map<PlaceTask, WorkerId> placed = new HashMap<>();
    private final Map<JobKey, Integer> reserved = new HashMap<>();

    private ResourceVector held(WorkerId worker) {
      return placed.entrySet().stream()
          .filter(e -> e.getValue().equals(worker))
          .map(e -> e.getKey().size())
          .reduce(ResourceVector.ZERO, ResourceVector::plus);
    }

    private boolean hasRoom(List<WorkerConfig> workers, ResourceVector size) {
      return workers.stream().anyMatch(w -> held(w.name()).plus(size).fitsIn(w.capacity()));
    }
  }

  @Property(seed = "41")
  void should_never_overfill_a_worker(@ForAll long seed) {
    // GIVEN
    SplittableRandom random = new SplittableRandom(seed);
    Samples.Clock clock = new Samples.Clock();
    List<WorkerConfig> workers = Samples.workers(3, "rack", CAPACITY);
    RackLedger ledger = Samples.ledger(clock, workers);
    Naive naive = new Naive();
    ResourceVector perTask = size(3, 5);
    for (int step = 0; step < 120; step++) {
      // WHEN
      JobKey gang = job("team", "gang" + random.nextInt(3));
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> place(ledger, naive, workers, random, step);
        case 3 -> end(ledger, naive, random);
        case 4 -> {
          Instant until = clock.now.plusSeconds(5);
          naive.reserved.put(gang, ledger.reserve(gang, 1, perTask, random.nextInt(8), until));
        }
        case 5 -> placeGang(ledger, naive, gang, perTask);
        case 6 -> {
          ledger.release(gang, 1);
          naive.reserved.remove(gang);
        }
        default -> {
          ledger.expire(clock.plus(Duration.ofSeconds(6)));
          naive.reserved.clear();
        }
      }
      // THEN
      ResourceVector free = size(16 * 3, 32 * 3);
      for (WorkerConfig worker : workers) {
        assertThat(naive.held(worker.name()).fitsIn(CAPACITY)).isTrue();
        free = free.minus(naive.held(worker.name()));
      }
      int held = naive.reserved.values().stream().mapToInt(Integer::intValue).sum();
      assertThat(ledger.digest(1).free()).isEqualTo(free.minus(perTask.times(held)));
    }
  }

  private static void place(
      RackLedger ledger,
      Naive naive,
      List<WorkerConfig> workers,
      SplittableRandom random,
      int step) {
    ResourceVector size = size(1 + random.nextInt(8), 1 + random.nextInt(16));
    PlaceTask task = Samples.batch("job" + step, Urgency.NORMAL, size);
    boolean reserved = naive.reserved.values().stream().anyMatch(count -> count > 0);
    Optional<WorkerId> worker = ledger.place(task);
    if (!reserved) {
      assertThat(worker.isPresent()).isEqualTo(naive.hasRoom(workers, size));
    }
    worker.ifPresent(w -> naive.placed.put(task, w));
  }

  private static void placeGang(
      RackLedger ledger, Naive naive, JobKey gang, ResourceVector perTask) {
    PlaceTask task =
        Samples.task(
            job(gang.team().value(), gang.job().value()), 1, Urgency.NORMAL, JobKind.GANG, perTask);
    boolean known = naive.placed.containsKey(task);
    boolean expected = known || naive.reserved.getOrDefault(gang, 0) > 0;
    Optional<WorkerId> worker = ledger.place(task);
    assertThat(worker.isPresent()).isEqualTo(expected);
    if (worker.isPresent() && !known) {
      naive.placed.put(task, worker.get());
      naive.reserved.merge(gang, -1, Integer::sum);
    }
  }

  private static void end(RackLedger ledger, Naive naive, SplittableRandom random) {
    List<PlaceTask> all = new ArrayList<>(naive.placed.keySet());
    if (all.isEmpty()) {
      return;
    }
    PlaceTask task = all.get(random.nextInt(all.size()));
    switch (random.nextInt(3)) {
      case 0 -> ledger.startFailed(attempt(task), false);
      case 1 -> {
        ledger.startFailed(attempt(task), true);
        naive.placed.remove(task);
      }
      default -> {
        ledger.started(attempt(task));
        ledger.ended(attempt(task));
        naive.placed.remove(task);
      }
    }
  }
}
