package org.masticspread.policy.placement.internal;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.TaskOrder;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.model.platform.WorkerTaskPhase;
import org.masticspread.model.resource.ResourceVector;
import org.masticspread.policy.placement.LedgerPosition;
import org.masticspread.policy.placement.ReconcileResult;
import org.masticspread.policy.placement.WorkerOrder;

/** Brings the books in line with a report of a worker. Guarded by its ledger's lock. */
public final class Observer {
  /** By how much the clock of a worker may lag behind. */
  private static final Duration SKEW_MARGIN = Duration.ofSeconds(2);

  private final Books books;
  private final RoomPlanner planner;
  private final RecentFailures failures;

  /**
   * Creates an observer.
   *
   * @param books the books
   * @param planner tells which tasks may be stopped
   * @param failures takes in where jobs fail
   */
  public Observer(Books books, RoomPlanner planner, RecentFailures failures) {
    this.books = books;
    this.planner = planner;
    this.failures = failures;
  }

  /**
   * Takes in a report.
   *
   * @param slot the worker
   * @param report its report
   * @param position what the report can tell of
   * @param now the present
   * @return what changed
   */
  public ReconcileResult observe(
      WorkerSlot slot, WorkerReport report, LedgerPosition position, Instant now) {
    List<WorkerOrder> orders = new ArrayList<>();
    Set<TaskAttempt> reported = new HashSet<>();
    for (WorkerTask task : report.tasks()) {
      TaskAttempt attempt = new TaskAttempt(task.task(), task.attempt());
      reported.add(attempt);
      if (task.phase() != WorkerTaskPhase.RUNNING) {
        end(task, slot);
        continue;
      }
      Booking booking = books.find(attempt);
      update(booking == null ? books.book(task, slot) : booking, task, now, orders);
    }
    List<TaskAttempt> gone =
        slot.bookings.stream()
            .filter(b -> !reported.contains(b.attempt) && isGone(b, position))
            .map(b -> b.attempt)
            .toList();
    gone.forEach(books::release);
    return new ReconcileResult(gone, orders);
  }

  private void end(WorkerTask task, WorkerSlot slot) {
    books.release(new TaskAttempt(task.task(), task.attempt()));
    if (task.phase() == WorkerTaskPhase.FAILED) {
      failures.add(task.task().job(), slot.name());
    }
  }

  private static boolean isGone(Booking booking, LedgerPosition position) {
    if (booking.certain) {
      return booking.confirmedSequence <= position.sequence();
    }
    return booking.sequence <= position.sequence()
        && booking.startBefore.plus(SKEW_MARGIN).isBefore(position.at());
  }

  private void update(Booking booking, WorkerTask task, Instant now, List<WorkerOrder> orders) {
    books.confirm(booking);
    booking.ranFor = task.ranFor();
    boolean outgrown = task.usage().memoryBytes() > booking.fullSize.memoryBytes();
    if (outgrown) {
      outgrow(booking, task, now, orders);
    }
    throttle(booking, task.throttled());
  }

  private void outgrow(Booking booking, WorkerTask task, Instant now, List<WorkerOrder> orders) {
    long memory = task.usage().memoryBytes();
    long more = memory - booking.size.memoryBytes();
    boolean room = more <= booking.slot.freeMemoryBytes();
    booking.fullSize = withMemory(booking.fullSize, memory);
    books.resize(booking, withMemory(booking.size, memory));
    if (room || booking.isLeaving()) {
      return;
    }
    booking.order = planner.isRestartable(booking) ? TaskOrder.STOP : TaskOrder.CHECKPOINT;
    booking.orderedAt = now;
    orders.add(new WorkerOrder(booking.slot.name(), booking.attempt, booking.order));
  }

  private static ResourceVector withMemory(ResourceVector size, long memoryBytes) {
    return new ResourceVector(size.millicores(), memoryBytes, size.accelerators());
  }

  private void throttle(Booking booking, boolean throttled) {
    if (throttled && booking.order != TaskOrder.UNTHROTTLE) {
      books.resize(booking, RoomPlanner.throttledSize(booking.fullSize));
      clearOrder(booking, TaskOrder.THROTTLE);
    }
    if (!throttled && booking.order != TaskOrder.THROTTLE) {
      books.resize(booking, booking.fullSize);
      clearOrder(booking, TaskOrder.UNTHROTTLE);
    }
  }

  private static void clearOrder(Booking booking, TaskOrder done) {
    if (booking.order == done) {
      booking.order = null;
    }
  }
}
