package review2;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is down while tasks run on. More than 500 ends wait at an executor, which lists 500 at
 * a time.
 */
public final class HiddenEnds {
  private static final int JOBS = Integer.getInteger("jobs", 24);
  private static final int TASKS = 60;
  private static final int CPU = Integer.getInteger("cpu", 250);
  private static final long TASK_MILLIS = Integer.getInteger("taskMillis", 400);
  private static final long DOWN_MILLIS = Integer.getInteger("downMillis", 4200);

  private HiddenEnds() {}

  public static void main(String[] args) {
    Case.main(args, (record, deployment, trouble) -> run(record, deployment, trouble));
  }

  private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
    deployment.executor("e-1", 32_000, 0);
    deployment.executor("e-2", 32_000, 0);
    deployment.configure(1, 4, 60_000);
    deployment.vms(3);
    if (!deployment.vms.awaitReady(30_000)) {
      return 2;
    }
    Thread.sleep(2000);
    List<String> accepted = new ArrayList<>();
    AtomicInteger refused = new AtomicInteger();
    ExecutorService clients = Executors.newFixedThreadPool(16);
    for (int i = 0; i < JOBS; i++) {
      String id = String.format("%016x", 0xabc0000L + i);
      clients.submit(
          () -> {
            try {
              if (deployment.submit(id, TASKS, CPU, TASK_MILLIS, false)) {
                synchronized (accepted) {
                  accepted.add(id);
                }
              } else {
                refused.incrementAndGet();
              }
            } catch (InterruptedException e) {
              refused.incrementAndGet();
            }
          });
    }
    long until = Record.now() + 10_000;
    while (Record.now() < until) {
      synchronized (accepted) {
        if (accepted.size() + refused.get() == JOBS) {
          break;
        }
      }
      Thread.sleep(20);
    }
    clients.shutdownNow();
    record.line("accepted " + accepted.size() + " jobs, refused " + refused.get());
    if (trouble) {
      deployment.store.mode(Store.Mode.BUSY);
      Thread.sleep(DOWN_MILLIS);
      deployment.store.mode(Store.Mode.UP);
    }
    until = Record.now() + 45_000;
    List<String> open = new ArrayList<>(accepted);
    while (!open.isEmpty() && Record.now() < until) {
      open.removeIf(id -> deployment.state(id).contains("\"done\""));
      Thread.sleep(300);
    }
    Thread.sleep(1500);
    record.line("not shown as done: " + open.size() + " jobs");
    deployment.history.all().forEach(entry -> record.line("run " + entry));
    for (Executor executor : deployment.executors) {
      record.line("most ends that waited at " + executor.id + ": " + executor.mostUnacked());
    }
    List<String> broken = deployment.history.twice();
    broken.stream().limit(100).forEach(pair -> record.line("TWICE " + pair));
    record.line("TWICE broken " + broken.size() + " times");
    deployment.history.overCapacity().forEach(text -> record.line("LIMIT " + text));
    System.out.println(
        "accepted " + accepted.size() + ", TWICE broken " + broken.size() + " times, open "
            + open.size());
    return broken.isEmpty() ? (accepted.size() < JOBS / 2 ? 2 : 0) : 1;
  }
}
