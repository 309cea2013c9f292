package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;

/** One executor answers 503 to starts for a while, and the others are full. */
public final class PendingCount {
  private static final int EXECUTORS = 8;
  private static final int MILLICORES = 16_000;
  private static final int SMALL_JOBS = 10;
  private static final long UNHEALTHY_MILLIS = 6500;
  private static final long VISIBLE_MILLIS = 3000;
  private static final long STALE_MILLIS = 2000;

  private PendingCount() {}

  public static void main(String[] args) {
    Case.main(args, (record, deployment, trouble) -> run(record, deployment, trouble));
  }

  private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
    for (int i = 1; i <= EXECUTORS; i++) {
      deployment.executor("e-" + i, MILLICORES, 0);
    }
    deployment.configure(1, 4, 60_000);
    deployment.vms(3);
    if (!deployment.vms.awaitReady(30_000)) {
      return 2;
    }
    Thread.sleep(4000);
    boolean filled = submit(deployment, "00000000000000f1", EXECUTORS - 1, MILLICORES, 25_000);
    filled &= submit(deployment, "00000000000000f2", 1, MILLICORES, 4000);
    if (!filled) {
      return 2;
    }
    int busy = 0;
    for (int i = 0; i < 100 && busy < EXECUTORS; i++) {
      Thread.sleep(20);
      busy = 0;
      for (Executor executor : deployment.executors) {
        busy += executor.used() > 0 ? 1 : 0;
      }
    }
    if (busy < EXECUTORS) {
      record.line("not all executors are full: " + busy);
      return 2;
    }
    List<String> jobs = new ArrayList<>();
    for (int i = 0; i < SMALL_JOBS; i++) {
      String id = String.format("%016x", 0xcc00L + i);
      if (submit(deployment, id, 1, 500, 300)) {
        jobs.add(id);
      }
    }
    long accepted = Record.now();
    for (Executor executor : deployment.executors) {
      if (trouble && executor.running("00000000000000f2") > 0) {
        executor.unhealthy(true);
      }
    }
    long recovery = Record.now() + UNHEALTHY_MILLIS;
    boolean broken = false;
    while (Record.now() < accepted + 12_000) {
      if (Record.now() > recovery) {
        deployment.executors.stream().forEach(executor -> executor.unhealthy(false));
        recovery = Long.MAX_VALUE;
      }
      Thread.sleep(500);
      for (Vms.Vm vm : deployment.vms.all()) {
        long asked = Record.now();
        String answer = deployment.vms.call(vm, "GET", Deployment.PREFIX, "");
        long waiting = jobs.stream().filter(id -> !begun(deployment, id)).count();
        record.line("GET " + Deployment.PREFIX + " at " + vm.name + " -> " + answer
            + ", jobs that have not begun: " + waiting);
        boolean due = asked - accepted > VISIBLE_MILLIS + STALE_MILLIS;
        if (due && answer.startsWith("200") && waiting > 0) {
          int pending = Http.JSON.readTree(answer.substring(4)).path("pending").asInt();
          if (2 * pending < waiting) {
            broken = true;
            record.line("MIXED pending " + pending + " of " + waiting);
            record.line("GET " + jobs.get(0) + " -> " + deployment.state(jobs.get(0)));
          }
        }
      }
    }
    deployment.history.all().forEach(entry -> record.line("run " + entry));
    System.out.println("accepted " + jobs.size() + ", MIXED broken: " + broken);
    return broken ? 1 : jobs.size() < SMALL_JOBS ? 2 : 0;
  }

  private static boolean begun(Deployment deployment, String id) {
    return deployment.history.all().stream().anyMatch(entry -> entry.task.startsWith(id + "."));
  }

  private static boolean submit(
      Deployment deployment, String id, int tasks, int cpu, long millis)
      throws InterruptedException {
    return deployment.submit(id, tasks, cpu, millis, false);
  }
}
