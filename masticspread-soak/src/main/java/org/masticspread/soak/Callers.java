package org.masticspread.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.masticspread.adapter.standin.StandInPlatform;

/** Callers that hand in jobs over connections that they keep open, and note what they are told. */
final class Callers {
  private static final Duration CALL = Duration.ofSeconds(3);
  private static final int TASKS = 2;
  private static final int ACCEPTED = 200;

  /** What callers were told about a job that was handed in. */
  enum Told {
    /** It will run. */
    ACCEPTED,
    /** It never runs. */
    REFUSED,
    /** Nothing certain. */
    UNKNOWN
  }

  static {
    // Callers name the host of their queue, which is not that of the VM.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
  }

  private final HttpClient http =
      HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).connectTimeout(CALL).build();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, Told> told = new ConcurrentHashMap<>();
  private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
  private final List<String> fronts;
  private final long seed;
  private int handedIn;

  Callers(List<String> fronts, long seed) {
    this.fronts = fronts;
    this.seed = seed;
  }

  Map<String, Told> told() {
    return told;
  }

  Set<String> cancelled() {
    return cancelled;
  }

  /** Hands in one job, without waiting for its answer. */
  void handIn(RandomGenerator random) {
    String id = String.format("%08x%08x", seed & 0xffffffffL, handedIn++);
    String front = fronts.get(random.nextInt(fronts.size()));
    boolean gang = random.nextInt(4) == 0;
    int millis = 50 + random.nextInt(1500);
    boolean cancel = random.nextInt(10) == 0;
    threads.execute(
        () -> {
          told.put(id, submit(front, id, millis, gang));
          if (cancel && told.get(id) == Told.ACCEPTED) {
            cancel(front, id);
          }
        });
  }

  private Told submit(String front, String id, int millis, boolean gang) {
    String body = StandInPlatform.jobBody(millis, TASKS, gang);
    int status = call(front, id, "POST", body);
    if (status == ACCEPTED) {
      return Told.ACCEPTED;
    }
    return status == 429 || status == 503 ? Told.REFUSED : Told.UNKNOWN;
  }

  private void cancel(String front, String id) {
    cancelled.add(id);
    call(front, id, "DELETE", "");
  }

  private int call(String front, String id, String method, String body) {
    HttpResponse<String> response = send(front, id, method, body);
    return response == null ? 0 : response.statusCode();
  }

  /** Sends a call; null if it got no answer, which is what a caller sees of a cut connection. */
  private HttpResponse<String> send(String front, String id, String method, String body) {
    HttpRequest request =
        HttpRequest.newBuilder()
            .uri(URI.create("http://" + front + StandInPlatform.PATH_PREFIX + id))
            .header("Host", StandInPlatform.HOST)
            .timeout(CALL.plusSeconds(1))
            .method(method, HttpRequest.BodyPublishers.ofString(body))
            .build();
    try {
      return http.send(request, HttpResponse.BodyHandlers.ofString());
    } catch (IOException e) {
      return null;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return null;
    }
  }

  /** Waits for the answers, then for the end of each accepted job; returns what is wrong. */
  List<String> finish(Duration patience) throws InterruptedException {
    threads.shutdown();
    threads.awaitTermination(20, TimeUnit.SECONDS);
    List<String> wrong = new ArrayList<>();
    long end = System.nanoTime() + patience.toNanos();
    for (Map.Entry<String, Told> job : told.entrySet()) {
      if (job.getValue() == Told.ACCEPTED && !ended(job.getKey(), end)) {
        wrong.add("accepted job " + job.getKey() + " does not end");
      }
    }
    return wrong;
  }

  private boolean ended(String id, long endNanos) throws InterruptedException {
    int turn = 0;
    while (System.nanoTime() < endNanos) {
      HttpResponse<String> answer = send(fronts.get(turn++ % fronts.size()), id, "GET", "");
      String body = answer == null ? "" : answer.body();
      if (body.contains("done") || (cancelled.contains(id) && body.contains("cancelled"))) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }
}
