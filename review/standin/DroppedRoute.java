import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Accepts two jobs on a queue, then the operator writes a configuration without that queue while
 * they run, and later one that has it again. Exits with 1 if accepted work stood still or a job was
 * failed without cause.
 */
final class DroppedRoute {
  private static final String HOST = "desk.example";
  private static final String CHAIN = "00000000000000a1";
  private static final String RETRIED = "00000000000000b2";

  /** The rule allows 3 s with nothing running; the 4 s before them must be calm. */
  private static final int ALLOWED_IDLE_MS = 3000;

  private static final int CALM_MS = 4000;
  private static final int MAX_ATTEMPTS = 4;

  private DroppedRoute() {}

  public static void main(String[] args) throws Exception {
    boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    int code;
    try (Rig rig = new Rig(Path.of(args[0]), 4, 3)) {
      code = run(rig, trouble);
      rig.log("exit " + code);
    } catch (Exception e) {
      e.printStackTrace();
      code = 2;
    }
    System.exit(Rig.exitCode(code));
  }

  private static int run(Rig rig, boolean trouble) throws Exception {
    Map<String, String> both = new TreeMap<>(Map.of("checks", "/checks/", "season", "/season/"));
    Map<String, String> without = new TreeMap<>(Map.of("checks", "/checks/"));
    rig.configure(3, 3000, both);
    if (!rig.startVms()) {
      rig.log("the VMs did not get ready");
      return 2;
    }
    Thread.sleep(2000);
    Rig.Vm vm = rig.vms.get(0);
    String chain =
        "{\"spec\":\"ms=4000\",\"steps\":["
            + "{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":4000},"
            + "{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":4000,\"after\":[0]}]}";
    String retried =
        "{\"spec\":\"ms=4000;fail_first=1\",\"steps\":["
            + "{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"estimate_ms\":4000}]}";
    if (rig.call(vm, "POST", HOST, "/season/" + CHAIN, chain, 3000).status() != 200
        || rig.call(vm, "POST", HOST, "/season/" + RETRIED, retried, 3000).status() != 200) {
      rig.log("a job was not accepted");
      return 2;
    }
    if (!rig.await(3000, () -> rig.runs(CHAIN).size() == 2 && rig.runs(RETRIED).size() == 1)) {
      rig.log("the first tasks did not start");
      return 2;
    }
    Thread.sleep(1000);
    rig.configure(5, 2900, trouble ? without : both);
    // The first tasks end 3 s later; whatever is due then has to run while the queue is dropped.
    long firstEnds = rig.now() + 3500;
    boolean ended =
        rig.await(8000, () -> rig.runs("").stream().limit(3).allMatch(run -> run.endMillis >= 0));
    if (!ended || rig.now() > firstEnds + 3000) {
      rig.log("the first tasks did not end in time");
      return 2;
    }
    long chainTurn = lastEnd(rig.runs(CHAIN));
    long retriedTurn = lastEnd(rig.runs(RETRIED));
    Thread.sleep(CALM_MS + ALLOWED_IDLE_MS + 2000);
    long chainIdle = idle(rig, rig.runs(CHAIN), 2, chainTurn);
    long retriedIdle = idle(rig, rig.runs(RETRIED), 1, retriedTurn);
    rig.log("job " + CHAIN + ": nothing ran for " + chainIdle + " ms after its second step was due");
    rig.log("job " + RETRIED + ": nothing ran for " + retriedIdle + " ms after its first failure");
    rig.configure(6, 3000, both);
    Thread.sleep(14_000); // finish_s
    String chainState = state(rig, CHAIN);
    String retriedState = state(rig, RETRIED);
    boolean broken = false;
    if (chainIdle > CALM_MS + ALLOWED_IDLE_MS || retriedIdle > CALM_MS + ALLOWED_IDLE_MS) {
      rig.log("LOST: an accepted job had nothing running for over 3 s, while a task's turn had come");
      broken = true;
    }
    long failures = rig.runs(RETRIED).stream().filter(run -> run.how.equals("failed")).count();
    if (retriedState.contains("failed") && failures < MAX_ATTEMPTS) {
      rig.log("LOST: shown as failed after " + failures + " failed run, of " + MAX_ATTEMPTS);
      broken = true;
    }
    if (!chainState.contains("done") || !retriedState.contains("done")) {
      rig.log("states at the end: " + chainState + ", " + retriedState);
      return broken ? 1 : 2;
    }
    return broken ? 1 : 0;
  }

  private static long lastEnd(List<Rig.Run> runs) {
    return runs.stream().mapToLong(run -> run.endMillis).max().orElse(0);
  }

  /** Returns the time from a turn to the next start, or until now if there was none. */
  private static long idle(Rig rig, List<Rig.Run> runs, int before, long turn) {
    return (runs.size() > before ? runs.get(before).startMillis : rig.now()) - turn;
  }

  private static String state(Rig rig, String job) {
    return rig.call(rig.vms.get(0), "GET", HOST, "/season/" + job, "", 3000).body();
  }
}
