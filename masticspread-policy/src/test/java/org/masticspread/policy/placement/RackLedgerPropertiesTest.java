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

  /** The model ledger: sums up, for each worker, what was placed there and has not ended. */
  private static final class ReferenceModel {
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
    ReferenceModel model = new ReferenceModel();
    ResourceVector perTask = size(3, 5);
    for (int step = 0; step < 120; step++) {
      // WHEN
      JobKey gang = job("team", "gang" + random.nextInt(3));
      switch (random.nextInt(8)) {
        case 0, 1, 2 -> place(ledger, model, workers, random, step);
        case 3 -> end(ledger, model, random);
        case 4 -> {
          Instant until = clock.now.plusSeconds(5);
          model.reserved.put(gang, ledger.reserve(gang, 1, perTask, random.nextInt(8), until));
        }
        case 5 -> placeGang(ledger, model, gang, perTask);
        case 6 -> {
          ledger.release(gang, 1);
          model.reserved.remove(gang);
        }
        default -> {
          ledger.expire(clock.plus(Duration.ofSeconds(6)));
          model.reserved.clear();
        }
      }
      // THEN
      ResourceVector free = size(16 * 3, 32 * 3);
      for (WorkerConfig worker : workers) {
        assertThat(model.held(worker.name()).fitsIn(CAPACITY)).isTrue();
        free = free.minus(model.held(worker.name()));
      }
      int held = model.reserved.values().stream().mapToInt(Integer::intValue).sum();
      assertThat(ledger.digest(1).free()).isEqualTo(free.minus(perTask.times(held)));
    }
  }

  private static void place(
      RackLedger ledger,
      ReferenceModel model,
      List<WorkerConfig> workers,
      SplittableRandom random,
      int step) {
    ResourceVector size = size(1 + random.nextInt(8), 1 + random.nextInt(16));
    PlaceTask task = Samples.batch("job" + step, Urgency.NORMAL, size);
    boolean reserved = model.reserved.values().stream().anyMatch(count -> count > 0);
    Optional<WorkerId> worker = ledger.place(task);
    if (!reserved) {
      assertThat(worker.isPresent()).isEqualTo(model.hasRoom(workers, size));
    }
    worker.ifPresent(w -> model.placed.put(task, w));
  }

  private static void placeGang(
      RackLedger ledger, ReferenceModel model, JobKey gang, ResourceVector perTask) {
    PlaceTask task =
        Samples.task(
            job(gang.team().value(), gang.job().value()), 1, Urgency.NORMAL, JobKind.GANG, perTask);
    boolean known = model.placed.containsKey(task);
    boolean expected = known || model.reserved.getOrDefault(gang, 0) > 0;
    Optional<WorkerId> worker = ledger.place(task);
    assertThat(worker.isPresent()).isEqualTo(expected);
    if (worker.isPresent() && !known) {
      model.placed.put(task, worker.get());
      model.reserved.merge(gang, -1, Integer::sum);
    }
  }

  private static void end(RackLedger ledger, ReferenceModel model, SplittableRandom random) {
    List<PlaceTask> all = new ArrayList<>(model.placed.keySet());
    if (all.isEmpty()) {
      return;
    }
    PlaceTask task = all.get(random.nextInt(all.size()));
    switch (random.nextInt(3)) {
      case 0 -> ledger.startFailed(attempt(task), false);
      case 1 -> {
        ledger.startFailed(attempt(task), true);
        model.placed.remove(task);
      }
      default -> {
        ledger.started(attempt(task));
        ledger.ended(attempt(task));
        model.placed.remove(task);
      }
    }
  }
}
