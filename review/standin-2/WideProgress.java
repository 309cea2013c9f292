package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;

/**
 * All VMs lose power for 9.5 s while the occurrences of a timed job overlap. After that, twice as
 * many of its tasks have a checkpoint as before.
 */
public final class WideProgress {
  private static final int EXECUTORS = 33;
  private static final int MILLICORES = 16_000;
  private static final int TASKS = 48;
  private static final int CPU = 150;
  private static final long TASK_MILLIS = Integer.getInteger("taskMillis", 14_000);
  private static final long INTERVAL_MILLIS = Integer.getInteger("interval", 500);
  private static final long DARK_MILLIS = 9500;
  private static final long RECOVERY_MILLIS = 12_000;
  private static final long TRAFFIC_MILLIS = 30_000;
  private static final long FINISH_MILLIS = 14_000;
  private static final long END_MILLIS = 82_000;

  /** More than the 3 s of the rule. */
  private static final long IDLE_MILLIS = 3500;
  private static final String TIMED = "00000000000000aa";

  private WideProgress() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int rc;
    try (Record record = new Record(Path.of(args[0]));
        Deployment deployment = new Deployment(record)) {
      rc = run(record, deployment, trouble);
      record.line("exit " + rc);
    }
    System.out.println("exit " + rc);
    Runtime.getRuntime().halt(rc);
  }

  private static int run(Record record, Deployment deployment, boolean trouble) throws Exception {
    deployment.vms.maxHoldMillis = 10_000;
    for (int i = 1; i <= EXECUTORS; i++) {
      deployment.executor("e-" + i, MILLICORES, 500, 600, 10_000);
    }
    deployment.configure(1, 4, 60_000);
    deployment.vms(3);
    if (!deployment.vms.awaitReady(30_000)) {
      return 2;
    }
    Thread.sleep(1500);
    ObjectNode body = Http.JSON.createObjectNode().put("spec", Long.toString(TASK_MILLIS));
    body.put("repetitions", 1000);
    body.put("start_at_ms", System.currentTimeMillis());
    body.put("interval_ms", INTERVAL_MILLIS);
    body.putArray("steps")
        .addObject()
        .put("count", TASKS)
        .put("cpu", CPU)
        .put("mem_mb", 16)
        .put("estimate_ms", TASK_MILLIS)
        .put("checkpoints", true);
    String answer = deployment.post(TIMED, CPU, true, body.toString(), 0);
    if (!answer.startsWith("200")) {
      return 2;
    }
    int number = 0;
    int servedBefore = 0;
    int sentBefore = 0;
    long until = Record.now() + 15_500;
    while (Record.now() < until) {
      sentBefore++;
      servedBefore += small(deployment, ++number) ? 1 : 0;
      Thread.sleep(400);
    }
    record.line("tasks of the timed job at work: " + working(deployment));
    if (trouble) {
      for (Vms.Vm vm : deployment.vms.all()) {
        deployment.vms.kill(vm);
      }
      Thread.sleep(DARK_MILLIS);
      for (Vms.Vm vm : deployment.vms.all()) {
        deployment.vms.launch(vm);
      }
    }
    long back = Record.now();
    int servedAfter = 0;
    int sentAfter = 0;
    while (Record.now() < back + TRAFFIC_MILLIS) {
      boolean served = small(deployment, ++number);
      if (Record.now() - back > RECOVERY_MILLIS) {
        sentAfter++;
        servedAfter += served ? 1 : 0;
      }
      Thread.sleep(400);
    }
    record.line("traffic ended; tasks of the timed job at work: " + working(deployment));
    Thread.sleep(FINISH_MILLIS);
    long idleSince = -1;
    long longestIdle = 0;
    while (Record.now() < back + END_MILLIS && longestIdle <= IDLE_MILLIS) {
      if (working(deployment) > 0) {
        idleSince = -1;
      } else if (idleSince < 0) {
        idleSince = Record.now();
        record.line("nothing of the timed job is at work");
      } else {
        longestIdle = Math.max(longestIdle, Record.now() - idleSince);
      }
      Thread.sleep(100);
    }
    int used = 0;
    for (Executor executor : deployment.executors) {
      used += executor.used();
    }
    record.line("tasks of the timed job at work: " + working(deployment)
        + "; thousandths of a core in use: " + used + " of " + EXECUTORS * MILLICORES);
    record.line("GET " + TIMED + " -> " + deployment.state(TIMED));
    deployment.cancel(TIMED, 0);
    String result = "jobs served before " + servedBefore + " of " + sentBefore
        + ", later than recovery_s after the VMs were back " + servedAfter + " of " + sentAfter
        + "; longest time with nothing of the timed job at work after finish_s: " + longestIdle
        + " ms; commits that the store answered with 400: " + deployment.store.tooLarge();
    record.line(result);
    System.out.println(result);
    return longestIdle > IDLE_MILLIS ? 1 : 0;
  }

  private static int working(Deployment deployment) {
    int working = 0;
    for (Executor executor : deployment.executors) {
      working += executor.running(TIMED);
    }
    return working;
  }

  private static boolean small(Deployment deployment, int number) {
    ObjectNode body = Http.JSON.createObjectNode().put("spec", "300");
    body.putArray("steps").addObject().put("count", 2).put("cpu", 500).put("mem_mb", 16)
        .put("estimate_ms", 300);
    String id = String.format("%016x", 0xbb0000L + number);
    return deployment.post(id, 500, false, body.toString(), number).startsWith("200");
  }
}
