import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Crashes one of seven executors, which starts again under its id 2 s later. Exits with 1 if a task
 * starts again after a run of it is done and that end was acknowledged.
 */
final class Rebirth {
  private static final String HOST = "desk.example";
  private static final int DOWN_MS = 2000;
  private static final int JOBS_BEFORE = 30;
  private static final int JOBS_AFTER = 30;

  private Rebirth() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Rig rig = new Rig(Path.of(args[0]), 7, 6)) {
      code = run(rig, trouble);
      rig.log("exit " + code);
    } catch (Exception e) {
      e.printStackTrace();
      code = 2;
    }
    System.exit(Rig.exitCode(code));
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    rig.configure(3, 3000, Map.of("checks", "/checks/"));
    if (!rig.startVms()) {
      rig.log("the VMs did not get ready");
      return 2;
    }
    Thread.sleep(4000);
    submit(rig, 0x1000, JOBS_BEFORE);
    Thread.sleep(4000);
    Rig.Executor executor = rig.executors.values().iterator().next();
    for (Rig.Executor other : rig.executors.values()) {
      executor = other.acknowledged() > executor.acknowledged() ? other : executor;
    }
    rig.log("executor " + executor.id + ": acknowledged ends " + executor.acknowledged());
    if (executor.acknowledged() < 10) {
      return 2;
    }
    if (trouble) {
      executor.crash();
      Thread.sleep(DOWN_MS);
      executor.restart();
    }
    Thread.sleep(4000);
    submit(rig, 0x2000, JOBS_AFTER);
    Thread.sleep(12_000);
    return twice(rig) ? 1 : 0;
  }

  private static void submit(Rig rig, int firstId, int jobs) throws InterruptedException {
    String body =
        "{\"spec\":\"ms=500\",\"steps\":["
            + "{\"count\":12,\"cpu\":2000,\"mem_mb\":64,\"estimate_ms\":500}]}";
    for (int i = 0; i < jobs; i++) {
      Rig.Vm vm = rig.vms.get(i % rig.vms.size());
      rig.call(vm, "POST", HOST, "/checks/" + String.format("%016x", firstId + i), body, 3000);
      Thread.sleep(60);
    }
  }

  private static boolean twice(Rig rig) {
    boolean broken = false;
    List<Rig.Run> runs = rig.runs("");
    for (Rig.Run first : runs) {
      for (Rig.Run second : runs) {
        boolean again = second.task.equals(first.task) && second.startMillis > first.startMillis;
        if (again && first.how.equals("done") && first.notedMillis >= 0) {
          broken = true;
          rig.log(
              "TWICE: " + first.task + " run " + first.number + " on " + first.executor
                  + " done at " + first.endMillis + " ms, acknowledged at " + first.notedMillis
                  + " ms; run " + second.number + " on " + second.executor + " starts at "
                  + second.startMillis + " ms");
        }
      }
    }
    return broken;
  }
}
