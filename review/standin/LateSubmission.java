import java.nio.file.Path;
import java.util.Map;

/**
 * Freezes a VM that does not lead for 3.5 s. A client sends it a job, leaves after a second without
 * an answer, and cancels the job at another VM. Exits with 1 if that cancelling is acknowledged and
 * a task of the job still starts later than allowed.
 */
final class LateSubmission {
  private static final String HOST = "desk.example";
  private static final String JOB = "00000000000000e5";
  private static final int FREEZE_MS = 3500;
  private static final int CLIENT_PATIENCE_MS = 1000;
  private static final int CANCEL_MS = 3000;
  private static final int STEP_MS = 3000;

  private LateSubmission() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Rig rig = new Rig(Path.of(args[0]), 5, 6)) {
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
    Rig.Vm leader = rig.leader();
    rig.log("the leader is " + leader.name);
    Rig.Vm frozen = rig.vms.stream().filter(vm -> vm != leader).findFirst().orElseThrow();
    Rig.Vm other =
        rig.vms.stream().filter(vm -> vm != leader && vm != frozen).findFirst().orElseThrow();
    long frozenMillis = rig.now();
    if (trouble) {
      frozen.signal("STOP");
    }
    String body =
        "{\"spec\":\"ms=" + STEP_MS + "\",\"steps\":["
            + "{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":3000},"
            + "{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":3000,\"after\":[0]}]}";
    rig.call(frozen, "POST", HOST, "/checks/" + JOB, body, CLIENT_PATIENCE_MS);
    int status = rig.call(other, "DELETE", HOST, "/checks/" + JOB, "", 3000).status();
    long acknowledged = rig.now();
    if (trouble) {
      Thread.sleep(Math.max(0, frozenMillis + FREEZE_MS - rig.now()));
      frozen.signal("CONT");
    }
    if (status != 200 && status != 410) {
      rig.log("the cancelling was not acknowledged");
      return 2;
    }
    Thread.sleep(2 * STEP_MS + 6000);
    rig.call(other, "GET", HOST, "/checks/" + JOB, "", 3000);
    long limit = acknowledged + CANCEL_MS;
    long late = rig.runs(JOB).stream().filter(run -> run.startMillis > limit).count();
    if (late > 0) {
      rig.log(
          "UNASKED: " + late + " task started more than " + CANCEL_MS
              + " ms after the cancelling of its job was acknowledged at " + acknowledged + " ms");
      return 1;
    }
    return 0;
  }
}
