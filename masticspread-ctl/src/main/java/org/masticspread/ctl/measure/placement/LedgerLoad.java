package org.masticspread.ctl.measure.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import org.masticspread.model.id.WorkerId;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.policy.placement.BestFit;
import org.masticspread.policy.placement.RackLedger;

/**
 * A load on one ledger with 550 workers and 16,000 running tasks, in which tasks end and others
 * start. Not thread-safe.
 */
public final class LedgerLoad {
  /** The number of running tasks. */
  public static final int RUNNING = 16_000;

  private static final List<ResourceVector> SIZES =
      List.of(
          new ResourceVector(500, 1L << 30, 0),
          new ResourceVector(1000, 2L << 30, 0),
          new ResourceVector(1000, 3L << 30, 0));

  private final SplittableRandom random;
  private final RackLedger ledger;
  private final List<PlaceTask> running = new ArrayList<>();
  private int created;
  private PlaceTask next;

  /**
   * Creates a load and fills the ledger.
   *
   * @param seed the seed of the arrivals
   */
  public LedgerLoad(long seed) {
    random = new SplittableRandom(seed);
    ledger = PackingRun.ledger(Cell.later().workers(), new BestFit());
    while (running.size() < RUNNING) {
      arrive();
      if (place().isEmpty()) {
        throw new IllegalStateException(
            "decisions: the cell has too little room for the running tasks");
      }
    }
  }

  /** Draws the next task to place. */
  public void arrive() {
    ResourceVector size = SIZES.get(random.nextInt(SIZES.size()));
    next = PackingRun.task(created++, size);
  }

  /**
   * Places the task that was drawn last.
   *
   * @return its worker
   */
  public Optional<WorkerId> place() {
    Optional<WorkerId> worker = ledger.place(next);
    if (worker.isPresent()) {
      running.add(next);
    }
    return worker;
  }

  /** Ends a random running task. */
  public void end() {
    int position = random.nextInt(running.size());
    PlaceTask last = running.remove(running.size() - 1);
    PlaceTask ended = position == running.size() ? last : running.set(position, last);
    ledger.ended(new TaskAttempt(ended.task(), ended.attempt()));
  }
}
