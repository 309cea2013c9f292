package review2;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The leader is killed, and the configuration drops a route shortly after. Clients that asked for
 * the count of that route meanwhile hand in jobs over the same connections.
 */
public final class SwappedAnswers {
  private static final int ROUNDS = 2;
  private static final int CLIENTS_PER_VM = Integer.getInteger("clients", 8);
  private static final int JOBS_PER_CLIENT = 2;
  private static final long RESTART_MILLIS = 500;
  private static final long CLIENT_GAP_MILLIS = 4;

  private final Record record;
  private final Deployment deployment;
  private final Map<String, String> answers = new LinkedHashMap<>();
  private final List<String> wrong = new ArrayList<>();

  private SwappedAnswers(Record record, Deployment deployment) {
    this.record = record;
    this.deployment = deployment;
  }

  public static void main(String[] args) {
    Case.main(args, (record, deployment, trouble) -> new SwappedAnswers(record, deployment).run(trouble));
  }

  private int run(boolean trouble) throws Exception {
    for (int i = 1; i <= 4; i++) {
      deployment.executor("e-" + i, 32_000, 0);
    }
    deployment.configure(1, 4, 60_000, prefixes(1));
    deployment.vms(6);
    for (int round = 1; round <= ROUNDS; round++) {
      if (!deployment.vms.awaitReady(30_000)) {
        return 2;
      }
      Thread.sleep(3000);
      playRound(round, trouble);
    }
    Thread.sleep(3000);
    int broken = 0;
    for (Map.Entry<String, String> job : answers.entrySet()) {
      String status = job.getValue();
      boolean rejected =
          status.startsWith("404") || status.startsWith("429") || status.startsWith("503");
      long started =
          deployment.history.all().stream()
              .filter(entry -> entry.task.startsWith(job.getKey() + "."))
              .count();
      if (rejected && started > 0) {
        broken++;
        record.line("REFUSED job " + job.getKey() + " was answered " + status
            + " and tasks started: " + started);
      }
    }
    wrong.forEach(text -> record.line("foreign answer: " + text));
    deployment.history.all().forEach(entry -> record.line("run " + entry));
    String result =
        "REFUSED broken for " + broken + " of " + answers.size() + " jobs, answers to another"
            + " request: " + wrong.size();
    record.line(result);
    System.out.println(result);
    return broken > 0 ? 1 : 0;
  }

  /** Kills the leader, and drops the route of the round shortly after. */
  private void playRound(int round, boolean trouble) throws Exception {
    List<String> names = deployment.vms.all().stream().map(vm -> vm.name).toList();
    String leader = deployment.store.leader(names);
    record.line("round " + round + ", leader " + leader);
    List<Thread> clients = new ArrayList<>();
    for (int i = 0; i < CLIENTS_PER_VM; i++) {
      for (Vms.Vm vm : deployment.vms.all()) {
        if (!vm.name.equals(leader)) {
          int client = 1000 * round + clients.size();
          clients.add(new Thread(() -> client(client, vm, dropped(round))));
        }
      }
    }
    Vms.Vm killed =
        deployment.vms.all().stream().filter(vm -> vm.name.equals(leader)).findFirst().get();
    if (trouble) {
      deployment.vms.kill(killed);
    }
    for (Thread thread : clients) {
      thread.start();
      Thread.sleep(CLIENT_GAP_MILLIS);
    }
    deployment.configure(round + 1, 4, 60_000, prefixes(round + 1));
    if (trouble) {
      Thread.sleep(RESTART_MILLIS);
      deployment.vms.launch(killed);
    }
    for (Thread thread : clients) {
      thread.join();
    }
  }

  /** Returns the route that is dropped in a round. */
  private static String dropped(int round) {
    return "/idle-" + round + "/";
  }

  /** Returns the routes of a version: the one for jobs, and those that later rounds drop. */
  private static List<String> prefixes(int version) {
    List<String> prefixes = new ArrayList<>(List.of(Deployment.PREFIX));
    for (int round = version; round <= ROUNDS; round++) {
      prefixes.add(dropped(round));
    }
    return prefixes;
  }

  private void client(int client, Vms.Vm vm, String dropped) {
    try (RawClient connection = new RawClient(vm.front)) {
      call(client, connection, "GET", dropped, "");
      for (int i = 0; i < JOBS_PER_CLIENT; i++) {
        String id = String.format("%08x%08x", client, i);
        deployment.history.job(id, 200, false);
        ObjectNode body = Http.JSON.createObjectNode().put("spec", "200");
        body.putArray("steps").addObject().put("count", 2).put("cpu", 200).put("mem_mb", 16)
            .put("estimate_ms", 200);
        String answer = call(client, connection, "POST", Deployment.PREFIX + id, body.toString());
        synchronized (answers) {
          answers.put(id, answer);
        }
        String shown = call(client, connection, "GET", Deployment.PREFIX + id, "");
        if (shown.startsWith("404") || !shown.contains("state") && shown.startsWith("200")) {
          synchronized (wrong) {
            wrong.add("client " + client + " GET " + id + " -> " + shown);
          }
        }
      }
    } catch (IOException e) {
      record.line("client " + client + " " + e);
    }
  }

  private String call(
      int client, RawClient connection, String method, String path, String body)
      throws IOException {
    long sent = Record.now();
    String answer = connection.call(method, path, body);
    record.line("client " + client + " sent " + sent + " " + method + " " + path + " -> " + answer);
    return answer;
  }
}
