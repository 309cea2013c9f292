import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * Cuts the leader off from the store and the other VMs for 5.5 s, and one executor from the VM that
 * takes over, for 5 s. Exits with 1 if a task runs twice at the same time, or starts after it is done.
 */
final class TwoLeaders {
  private static final String HOST = "desk.example";
  private static final int LEADER_CUT_MS = 5500;
  private static final int EXECUTOR_CUT_MS = 5000;

  private TwoLeaders() {}

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
    String body =
        "{\"spec\":\"ms=8000\",\"steps\":["
            + "{\"count\":5,\"cpu\":8000,\"mem_mb\":64,\"estimate_ms\":8000}]}";
    String job = "00000000000000d4";
    boolean started =
        rig.call(leader, "POST", HOST, "/checks/" + job, body, 3000).status() == 200
            && rig.await(3000, () -> rig.runs(job).size() == 5);
    if (!started) {
      rig.log("the tasks did not start");
      return 2;
    }
    Thread.sleep(500);
    if (trouble && !disrupt(rig, leader)) {
      return 2;
    }
    Thread.sleep(14_000);
    rig.call(rig.vms.get(0), "GET", HOST, "/checks/" + job, "", 3000);
    return twice(rig, job) ? 1 : 0;
  }

  private static boolean disrupt(Rig rig, Rig.Vm leader) throws Exception {
    int claims = rig.eventCount("leader-claim");
    leader.cutOff(true);
    long cut = rig.now();
    // One of five executors loses the path to one of six VMs: whichever claims the leadership.
    Rig.Executor lost = rig.executors.get(rig.runs("").get(0).executor);
    Rig.Vm next = null;
    while (next == null && rig.now() < cut + 4000) {
      next = rig.eventCount("leader-claim") > claims ? rig.lastWith("leader-claim", leader) : null;
      Thread.sleep(1);
    }
    if (next == null) {
      rig.log("no other VM took over");
      return false;
    }
    next.toExecutors.get(lost.id).cut(true);
    long executorCut = rig.now();
    rig.log(lost.id + " is cut off from " + next.name + ", which claims the leadership");
    Thread.sleep(Math.max(0, cut + LEADER_CUT_MS - rig.now()));
    leader.cutOff(false);
    Thread.sleep(Math.max(0, executorCut + EXECUTOR_CUT_MS - rig.now()));
    next.toExecutors.get(lost.id).cut(false);
    rig.log(lost.id + " is connected to " + next.name + " again");
    return true;
  }

  private static boolean twice(Rig rig, String job) {
    boolean broken = false;
    List<Rig.Run> runs = rig.runs(job);
    for (Rig.Run first : runs) {
      for (Rig.Run second : runs) {
        boolean later = second.startMillis > first.startMillis && second.task.equals(first.task);
        boolean sameTime = first.endMillis < 0 || first.endMillis > second.startMillis;
        if (later && (sameTime || first.how.equals("done"))) {
          broken = true;
          rig.log(
              "TWICE: " + first.task + " run " + first.number + " on " + first.executor + " from "
                  + first.startMillis + " to " + first.endMillis + " ms (" + first.how + "), run "
                  + second.number + " on " + second.executor + " from " + second.startMillis + " to "
                  + second.endMillis + " ms (" + second.how + ")");
        }
      }
    }
    return broken;
  }
}
