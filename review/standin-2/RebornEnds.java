package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

/** An executor is cut off for a moment, and starts again under its id behind the cut. */
public final class RebornEnds {
  private static final long CUT_MILLIS = Integer.getInteger("cut", 500);
  private static final int ROUNDS = 2;
  private static final long QUIET_MILLIS = 1700;
  private static final int JOBS = 40;
  private static final long GAP_MILLIS = 30;

  private RebornEnds() {}

  public static void main(String[] args) {
    Case.main(args, (record, deployment, trouble) -> run(record, deployment, trouble));
  }

  private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
    for (int i = 1; i <= 6; i++) {
      deployment.executor("e-" + i, 16_000, 0);
    }
    deployment.configure(1, 4, 60_000);
    deployment.vms(3);
    if (!deployment.vms.awaitReady(30_000)) {
      return 2;
    }
    Thread.sleep(3000);
    ExecutorService clients = Executors.newCachedThreadPool();
    List<String> accepted = new ArrayList<>();
    submit(deployment, clients, accepted, 0, JOBS);
    for (int round = 1; round <= ROUNDS; round++) {
      Thread.sleep(QUIET_MILLIS);
      Executor target = deployment.executors.get(0);
      for (Executor executor : deployment.executors) {
        target = executor.lastEnd() > target.lastEnd() ? executor : target;
      }
      if (trouble) {
        target.reborn(CUT_MILLIS);
      }
      submit(deployment, clients, accepted, round * JOBS, JOBS);
    }
    clients.shutdown();
    clients.awaitTermination(20, TimeUnit.SECONDS);
    Thread.sleep(8000);
    deployment.history.all().forEach(entry -> record.line("run " + entry));
    List<String> broken = deployment.history.twice();
    broken.forEach(pair -> record.line("TWICE " + pair));
    System.out.println(
        "accepted " + accepted.size() + ", TWICE broken " + broken.size() + " times");
    return broken.isEmpty() ? 0 : 1;
  }

  private static void submit(
      Deployment deployment, ExecutorService clients, List<String> accepted, int from, int count)
      throws InterruptedException {
    for (int i = from; i < from + count; i++) {
      String id = String.format("%016x", 0xdd00L + i);
      clients.submit(
          () -> {
            if (deployment.submit(id, 1, 500, 60, false)) {
              synchronized (accepted) {
                accepted.add(id);
              }
            }
            return null;
          });
      Thread.sleep(GAP_MILLIS);
    }
  }
}
