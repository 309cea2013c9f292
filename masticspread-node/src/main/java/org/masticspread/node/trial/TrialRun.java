package org.masticspread.node.trial;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.masticspread.model.id.EndpointId;
import org.masticspread.model.result.ResultCode;
import org.masticspread.model.work.JobKind;
import org.masticspread.model.work.JobPhase;
import org.masticspread.model.work.JobSpec;
import org.masticspread.model.work.JobView;
import org.masticspread.model.work.TaskPhase;

/**
 * Run of a trial: sends a steady load to a cell, injects faults, and reports violated guarantees.
 *
 * <p>Example: {@code TrialRun.on(cell).strike(TrialFault.VM_KILLED, 1).finish()}.
 */
public final class TrialRun {
  private static final Duration STEP = Duration.ofMillis(250);
  private static final Duration TASK_TIME = Duration.ofSeconds(5);
  private static final Duration WORK_AFTER_FAULTS = Duration.ofSeconds(30);
  private static final Duration SETTLING_TIME = Duration.ofSeconds(50);
  private static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(6);
  private static final Duration MAX_LEAVING_DELAY = Duration.ofSeconds(3);
  private static final int TASKS = 8;
  private static final int PROBES = 20;
  private static final int ROUNDS_PER_REPEAT = 5;

  private final TrialCell cell;
  private final List<JobSpec> jobs = new ArrayList<>();
  private final Map<String, Integer> sentTo = new HashMap<>();
  private final Map<EndpointId, Instant> leavingSince = new HashMap<>();
  private final List<Integer> ended = new ArrayList<>();
  private final List<Integer> stopped = new ArrayList<>();
  private int rounds;

  private TrialRun(TrialCell cell) {
    this.cell = cell;
  }

  /**
   * Submits jobs of each kind and begins sending requests.
   *
   * @param cell a cell that is warmed up
   * @return the run
   */
  public static TrialRun on(TrialCell cell) {
    TrialRun run = new TrialRun(cell);
    run.submitJobs();
    run.work(Duration.ofSeconds(4));
    return run;
  }

  private void submitJobs() {
    for (int vm = 1; vm <= cell.size(); vm++) {
      submit(vm, TrialWork.batch("batch-" + vm, TASKS, true, TASK_TIME));
      submit(vm, TrialWork.batch("once-" + vm, TASKS, false, TASK_TIME));
      submit(vm, TrialWork.gang("gang-" + vm, TASKS / 2, TASK_TIME));
    }
    submit(1, TrialWork.service("service-1", 2));
  }

  private void submit(int vm, JobSpec job) {
    jobs.add(job);
    cell.submit(vm, job);
  }

  /**
   * Sends requests for a while.
   *
   * @param wait the duration
   * @return this run
   */
  public TrialRun work(Duration wait) {
    Instant until = cell.now().plus(wait);
    while (cell.now().isBefore(until)) {
      rounds++;
      for (int vm = 1; vm <= cell.size(); vm++) {
        requests(vm);
      }
      cell.advance(STEP);
    }
    return this;
  }

  private void requests(int vm) {
    if (!cell.acceptsWork(vm)) {
      return;
    }
    String id = vm + "-" + rounds;
    recordSend(vm, cell.send(vm, TrialWork.read("read-" + id, cell.now())));
    recordSend(vm, cell.send(vm, TrialWork.order("order-" + id, cell.now())));
    if (rounds % ROUNDS_PER_REPEAT == 0) {
      int other = vm % cell.size() + 1;
      String earlier = "order-" + other + "-" + (rounds - 1);
      recordSend(vm, cell.send(vm, TrialWork.order(earlier, cell.now().minus(STEP))));
    }
  }

  private void recordSend(int vm, String send) {
    sentTo.put(send, vm);
  }

  /**
   * Injects a fault and continues sending requests.
   *
   * @param fault the fault
   * @param vm the number of the affected VM
   * @param duration how long to send requests afterwards
   * @return this run
   */
  public TrialRun strike(TrialFault fault, int vm, Duration duration) {
    fault.strike(cell, vm);
    if (fault == TrialFault.ENDPOINT_LEAVING) {
      leavingSince.putIfAbsent(EndpointId.of("endpoint-" + vm), cell.now());
    }
    if (fault == TrialFault.VM_STOPPED) {
      stopped.add(vm);
    }
    if (fault.endsVm() || fault == TrialFault.VM_RESTARTED) {
      ended.add(vm);
    }
    return work(duration);
  }

  /**
   * Waits until the cell has settled, then checks all guarantees.
   *
   * @return the violated guarantees; empty if none
   */
  public List<String> finish() {
    work(WORK_AFTER_FAULTS);
    cell.advance(SETTLING_TIME);
    List<String> problems = new ArrayList<>();
    checkServing(problems);
    checkAnswers(problems);
    checkLeaving(problems);
    for (int vm : stopped) {
      if (!cell.stoppedCompletely(vm)) {
        problems.add("the stop of " + cell.id(vm) + " was not complete");
      }
    }
    cell.acceptedJobs().forEach(j -> checkJob(j, problems));
    problems.addAll(cell.violations());
    return problems;
  }

  private void checkServing(List<String> problems) {
    List<String> sends = new ArrayList<>();
    for (int i = 0; i < PROBES; i++) {
      int vm = i % cell.size() + 1;
      if (cell.acceptsWork(vm)) {
        sends.add(cell.send(vm, TrialWork.read("probe-read-" + i, cell.now())));
        sends.add(cell.send(vm, TrialWork.order("probe-order-" + i, cell.now())));
      }
    }
    cell.advance(ANSWER_TIMEOUT);
    for (String send : sends) {
      if (!cell.codeOf(send).filter(ResultCode.OK::equals).isPresent()) {
        problems.add("not served after the fault: " + cell.codeOf(send));
      }
    }
  }

  private void checkAnswers(List<String> problems) {
    sentTo.forEach(
        (send, vm) -> {
          boolean killed = ended.contains(vm) && !stopped.contains(vm);
          if (!killed && cell.codeOf(send).isEmpty()) {
            problems.add(send + " to " + cell.id(vm) + " was never answered");
          }
        });
  }

  private void checkLeaving(List<String> problems) {
    leavingSince.forEach(
        (endpoint, since) ->
            cell.platform().endpoints().runs().stream()
                .filter(r -> r.endpoint().equals(endpoint))
                .filter(r -> r.started().isAfter(since.plus(MAX_LEAVING_DELAY)))
                .findFirst()
                .ifPresent(r -> problems.add(endpoint + " received new work at " + r.started())));
  }

  private void checkJob(JobSpec job, List<String> problems) {
    JobView seen = cell.read(job).orElse(null);
    if (seen == null) {
      problems.add(job.key() + " was accepted but cannot be read");
      return;
    }
    boolean asExpected =
        job.kind() == JobKind.SERVICE
            ? seen.tasks().stream().allMatch(t -> t.phase() == TaskPhase.RUNNING)
            : isOver(job, seen);
    if (!asExpected) {
      problems.add(job.key() + " is " + seen.phase() + " with " + seen.tasks());
    }
  }

  private static boolean isOver(JobSpec job, JobView seen) {
    return job.idempotent() ? seen.phase() == JobPhase.SUCCEEDED : seen.phase().isTerminal();
  }
}
