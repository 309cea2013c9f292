package org.masticspread.ctl.measure.slopes;

import java.time.Duration;
import java.time.InstantSource;
import java.util.List;
import java.util.Optional;
import org.masticspread.model.config.Configuration;
import org.masticspread.model.peer.PlaceTask;
import org.masticspread.model.platform.EndpointOutcome;
import org.masticspread.model.platform.TaskAttempt;
import org.masticspread.model.platform.WorkerReport;
import org.masticspread.model.platform.WorkerTask;
import org.masticspread.policy.placement.RackLedger;
import org.masticspread.policy.request.Dispatch;
import org.masticspread.policy.request.RequestScheduler;

/** Measures of the CPU time of decisions. */
final class TimeSlopes {
  private static final InstantSource CLOCK = InstantSource.fixed(Samples.NOW);
  private static final Duration SERVICE_TIME = Duration.ofMillis(40);
  private static final int ENDPOINTS = 90;
  private static final int PLACEMENTS_PER_RUN = 100;
  private static final double PER_PLACEMENT = 1.0 / PLACEMENTS_PER_RUN;
  private static final int RENEWALS_PER_RUN = 100;
  private static final double PER_RENEWAL = 1.0 / RENEWALS_PER_RUN;

  private TimeSlopes() {}

  static List<SlopeRow> rows(int scale, long seed) {
    return List.of(
        Cost.row(
            "request decision: offer, next, finished",
            "us/request",
            false,
            count -> requests(count, seed),
            20 * scale,
            40 * scale,
            80 * scale),
        Cost.row(
            "placement against workers, 10 tasks each",
            "us per placement/worker",
            false,
            workers -> placement(workers, 10 * workers),
            8,
            138,
            275,
            550),
        Cost.row(
            "placement against running tasks on 550 workers",
            "us per placement/task",
            false,
            tasks -> placement(550, tasks),
            40 * scale,
            80 * scale,
            160 * scale),
        Cost.row(
            "lease renewal against tasks of the worker",
            "us per renewal/task",
            false,
            TimeSlopes::renewal,
            8,
            16,
            32,
            64));
  }

  private static double requests(int count, long seed) throws Exception {
    Configuration configuration = Samples.configuration(Samples.TEAMS, ENDPOINTS, 0);
    RequestScheduler scheduler = RequestScheduler.create(CLOCK).withSeed(seed);
    scheduler.configure(configuration, configuration.endpoints());
    return Meters.micros(
        () -> {
          for (int i = 0; i < count; i++) {
            decide(scheduler, i);
          }
          return scheduler;
        });
  }

  private static void decide(RequestScheduler scheduler, int number) {
    scheduler.offer(Samples.request(number, true, Samples.BODY_BYTES));
    Optional<Dispatch> dispatch = scheduler.next();
    while (dispatch.isPresent()) {
      scheduler.finished(dispatch.get(), EndpointOutcome.ANSWERED, SERVICE_TIME);
      dispatch = scheduler.next();
    }
  }

  private static double placement(int workers, int running) throws Exception {
    RackLedger ledger = HeapSlopes.ledger(workers);
    for (int i = 0; i < running; i++) {
      HeapSlopes.start(ledger, Samples.placeTask(i));
    }
    List<PlaceTask> next = Samples.list(PLACEMENTS_PER_RUN, i -> Samples.placeTask(running + i));
    double micros =
        Meters.micros(
            () -> {
              next.forEach(task -> HeapSlopes.start(ledger, task));
              next.forEach(task -> ledger.ended(new TaskAttempt(task.task(), task.attempt())));
              return ledger;
            });
    return micros * PER_PLACEMENT;
  }

  private static double renewal(int tasks) throws Exception {
    RackLedger ledger = HeapSlopes.ledger(1);
    List<WorkerTask> workerTasks = Samples.list(tasks, Samples::workerTask);
    for (int i = 0; i < tasks; i++) {
      HeapSlopes.start(ledger, Samples.placeTask(i));
    }
    WorkerReport report = new WorkerReport(Samples.worker(0), 1, workerTasks);
    double micros =
        Meters.micros(
            () -> {
              for (int i = 0; i < RENEWALS_PER_RUN; i++) {
                ledger.reconcile(report, ledger.position());
              }
              return ledger;
            });
    return micros * PER_RENEWAL;
  }
}
