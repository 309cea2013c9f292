import java.nio.file.Path;
import java.util.Map;

/**
 * Cuts the leader off from the store and the other VMs for 5.5 s. A client has its job accepted by
 * another VM and cancels it at the cut-off VM. Exits with 1 if that cancelling is acknowledged and a
 * VM still starts a task of the job later than allowed.
 */
final class StaleLeader {
  private static final String HOST = "desk.example";
  private static final String JOB = "00000000000000c3";
  private static final int CUT_MS = 5500;
  private static final int CANCEL_MS = 3000;
  private static final int FIRST_STEP_MS = 6000;

  private StaleLeader() {}

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
    Rig.Vm other = rig.vms.stream().filter(vm -> vm != leader).findFirst().orElseThrow();
    rig.log("the leader is " + leader.name);
    long cutMillis = rig.now();
    if (trouble) {
      leader.cutOff(true);
      if (!rig.await(5000, () -> loadedByOther(rig, leader))) {
        rig.log("no other VM took over during the cut");
        leader.cutOff(false);
        return 2;
      }
      rig.log("the leader is " + rig.leader().name);
    }
    String body =
        "{\"spec\":\"ms=" + FIRST_STEP_MS + "\",\"steps\":["
            + "{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":6000},"
            + "{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":6000,\"after\":[0]}]}";
    boolean accepted =
        rig.call(other, "POST", HOST, "/checks/" + JOB, body, 3000).status() == 200
            && rig.await(2000, () -> rig.runs(JOB).size() == 1);
    if (!accepted) {
      rig.log("the job was not accepted or did not start");
      return 2;
    }
    rig.call(other, "GET", HOST, "/checks/" + JOB, "", 3000);
    rig.log(leader.name + " says that it is ready: " + leader.ready());
    rig.call(leader, "GET", HOST, "/checks/" + JOB, "", 3000);
    int status = rig.call(leader, "DELETE", HOST, "/checks/" + JOB, "", 3000).status();
    long acknowledged = rig.now();
    // A client sends a call without an acknowledgement again, at another VM.
    if (status != 200 && status != 410) {
      status = rig.call(other, "DELETE", HOST, "/checks/" + JOB, "", 3000).status();
      acknowledged = rig.now();
    }
    if (trouble) {
      Thread.sleep(Math.max(0, cutMillis + CUT_MS - rig.now()));
      leader.cutOff(false);
    }
    Thread.sleep(FIRST_STEP_MS + 6000);
    rig.call(other, "GET", HOST, "/checks/" + JOB, "", 3000);
    if (status != 200 && status != 410) {
      rig.log("the cancelling was not acknowledged");
      return 2;
    }
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

  private static boolean loadedByOther(Rig rig, Rig.Vm former) {
    try {
      return rig.leader() != former;
    } catch (java.io.IOException e) {
      return false;
    }
  }
}
