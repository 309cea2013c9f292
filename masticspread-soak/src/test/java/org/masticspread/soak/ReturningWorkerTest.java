package org.masticspread.soak;

import static org.assertj.core.api.Assertions.assertThat;

import io.netty.channel.nio.NioEventLoopGroup;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.masticspread.adapter.standin.StandInPlatform;

/** Tests a VM, as a process, with a worker that returns under its id and is cut off soon after. */
class ReturningWorkerTest {
  private static final Duration TIMEOUT = Duration.ofSeconds(15);
  private static final Duration POLL_INTERVAL = Duration.ofMillis(50);

  /** Shorter than the silence after which a worker gets no new task. */
  private static final Duration DOWN_TIME = Duration.ofMillis(400);

  /** In this time, the calls that waited reach the next incarnation. */
  private static final Duration TIME_BEFORE_CUT = Duration.ofMillis(200);

  /** Longer than the lease that a leader grants. */
  private static final int TASK_MILLIS = 7000;

  /** More than there are open connections to the worker. */
  private static final int TASKS = 12;

  private static final int STATUS_OK = 200;
  private static final long FORMER_CLOCK_MILLIS = 1_000_000;

  @TempDir Path directory;
  private final NioEventLoopGroup loops = new NioEventLoopGroup(1);
  private final List<FaultProxy> links = new ArrayList<>();
  private StandInPlatform platform;
  private VmSubprocess vm;
  private Callers callers;

  @BeforeEach
  void start() throws Exception {
    platform =
        StandInPlatform.start(
            2,
            address -> {
              links.add(new FaultProxy(loops, WorkerFaults.address(address)));
              return links.get(links.size() - 1).address();
            });
    platform.setWorkerClock(0, FORMER_CLOCK_MILLIS, 1);
    vm =
        new VmSubprocess(
            "vm-1", platform.settings("vm-1", Soak.vmIp(1), platform.storeAddress()), directory);
    callers = new Callers(List.of(vm.front()), 1);
  }

  @AfterEach
  void stop() throws Exception {
    vm.kill();
    platform.close();
    loops.shutdownGracefully();
  }

  private boolean ended(String job) throws InterruptedException {
    return callers.ended(job, System.nanoTime() + TIMEOUT.toNanos());
  }

  /** Submits a job until it is accepted, which takes some time after the start of the VM. */
  private void submit(String job, int millis, int tasks) throws InterruptedException {
    String body = StandInPlatform.jobBody(millis, tasks, false);
    long endNanos = System.nanoTime() + TIMEOUT.toNanos();
    while (callers.call(vm.front(), job, "POST", body) != STATUS_OK) {
      assertThat(System.nanoTime()).as("time of the wait for %s", job).isLessThan(endNanos);
      Thread.sleep(POLL_INTERVAL.toMillis());
    }
  }

  @Test
  void should_not_run_a_task_twice_when_a_worker_is_cut_off_before_its_next_incarnation_answers()
      throws Exception {
    // GIVEN
    links.get(1).isolate();
    vm.start();
    submit("0000000000000001", 50, 1);
    assertThat(ended("0000000000000001")).isTrue();

    // WHEN
    FaultProxy link = links.get(0);
    link.isolate();
    submit("0000000000000002", TASK_MILLIS, TASKS);
    platform.crashWorker(0);
    Thread.sleep(DOWN_TIME.toMillis());
    link.mode(FaultProxy.Mode.CUT_ANSWERS);
    platform.startWorkerAgain(0, 0);
    link.rejoin();
    Thread.sleep(TIME_BEFORE_CUT.toMillis());
    link.mode(FaultProxy.Mode.CUT);
    links.get(1).rejoin();

    // THEN
    assertThat(ended("0000000000000002")).isTrue();
    assertThat(platform.runHistory().violations()).isEmpty();
  }
}
