import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Submits one job of 3 steps with 60 tasks each, whose checkpoints are 400 characters long, and small
 * jobs beside it. Exits with 1 if cancels of accepted jobs are not acknowledged or ends are not taken
 * note of, though nothing is disturbed.
 */
final class LongCheckpoints {
  private static final String HOST = "desk.example";
  private static final String LARGE = "00000000000000f6";
  private static final int EXECUTORS = 33;
  private static final int LONG = 400;
  private static final int SHORT = 16;
  private static final int ACK_TIMEOUT_MS = 4000;

  private LongCheckpoints() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Rig rig = new Rig(Path.of(args[0]), EXECUTORS, 6)) {
      code = run(rig, trouble ? LONG : SHORT);
      rig.log("exit " + code);
    } catch (Exception e) {
      e.printStackTrace();
      code = 2;
    }
    System.exit(Rig.exitCode(code));
  }

  private static int run(Rig rig, int checkpointLength) throws Exception {
    rig.quietJob = LARGE;
    rig.configure(3, 3000, Map.of("checks", "/checks/"));
    if (!rig.startVms()) {
      rig.log("the VMs did not get ready");
      return 2;
    }
    Thread.sleep(4000);
    Rig.Vm vm = rig.vms.get(0);
    List<String> small = new ArrayList<>();
    for (int i = 0; i < 5; i++) {
      String id = String.format("%016x", 0xabc0 + i);
      if (submit(rig, vm, id, 1, 1, 90_000, SHORT) == 200) {
        small.add(id);
      }
    }
    if (small.size() < 5 || submit(rig, vm, LARGE, 3, 60, 12_000, checkpointLength) != 200) {
      rig.log("a job was not accepted");
      return 2;
    }
    if (!rig.await(8000, () -> rig.runs(LARGE).size() >= 180)) {
      rig.log("tasks of the large job started: " + rig.runs(LARGE).size());
      return 2;
    }
    rig.log("all 180 tasks of the large job have started");
    rig.await(16_000, () -> rig.runs(LARGE).stream().anyMatch(run -> run.how.equals("done")));
    rig.log("the first task of the large job has ended");
    Thread.sleep(ACK_TIMEOUT_MS);
    int unanswered = 0;
    for (String id : small) {
      int status = rig.call(vm, "DELETE", HOST, "/checks/" + id, "", ACK_TIMEOUT_MS).status();
      unanswered += status == 200 || status == 410 ? 0 : 1;
    }
    submit(rig, vm, "000000000000abd1", 1, 1, 1000, SHORT);
    Thread.sleep(10_000);
    long ends = 0;
    long unacknowledged = 0;
    for (Rig.Executor executor : rig.executors.values()) {
      ends += executor.ends();
      unacknowledged += executor.unacknowledged();
    }
    rig.log("ends listed by executors: " + ends + ", not taken note of: " + unacknowledged);
    rig.log("commits refused by the store for a row that is too large: " + rig.store.refusedAsTooLarge());
    rig.call(vm, "GET", HOST, "/checks/" + LARGE, "", 3000);
    boolean broken = false;
    if (unanswered * 10 > small.size()) {
      rig.log("Acks: " + unanswered + " of " + small.size() + " cancels were not acknowledged");
      broken = true;
    }
    if (unacknowledged * 5 > ends) {
      rig.log("Acks: " + unacknowledged + " of " + ends + " ends were not taken note of");
      broken = true;
    }
    return broken ? 1 : 0;
  }

  private static int submit(
      Rig rig, Rig.Vm vm, String id, int steps, int tasks, int millis, int checkpointLength) {
    String step =
        "{\"count\":" + tasks + ",\"cpu\":2000,\"mem_mb\":100,\"estimate_ms\":" + millis
            + ",\"checkpoints\":true}";
    String body =
        "{\"spec\":\"ms=" + millis + ";saved=" + checkpointLength + "\",\"steps\":["
            + String.join(",", java.util.Collections.nCopies(steps, step)) + "]}";
    return rig.call(vm, "POST", HOST, "/checks/" + id, body, 3000).status();
  }
}
