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

/** Callers that submit jobs over persistent connections and record the answers. */
final class Callers {
  private static final Duration CALL_TIMEOUT = Duration.ofSeconds(3);
  private static final int TASKS_PER_JOB = 2;

  /** Each so many jobs, one has tasks that outlast a lease. */
  private static final int LONG_JOB_INTERVAL = 16;

  private static final int LONG_TASK_MILLIS = 12_000;
  private static final int STATUS_OK = 200;

  /** The answer to the submission of a job. */
  enum Submission {
    /** The job was accepted and must run. */
    ACCEPTED,
    /** The job was refused and must never run. */
    REFUSED,
    /** It is unknown whether the job was accepted. */
    UNKNOWN
  }

  static {
    // Requests carry the host of their queue, which differs from the host of the VM.
    System.setProperty("jdk.httpclient.allowRestrictedHeaders", "host");
  }

  private final HttpClient http =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(CALL_TIMEOUT)
          .build();
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final Map<String, Submission> submissions = new ConcurrentHashMap<>();
  private final Set<String> cancelled = ConcurrentHashMap.newKeySet();
  private final List<String> fronts;
  private final long seed;
  private int submitted;

  Callers(List<String> fronts, long seed) {
    this.fronts = fronts;
    this.seed = seed;
  }

  Map<String, Submission> submissions() {
    return submissions;
  }

  Set<String> cancelled() {
    return cancelled;
  }

  /** Submits a job without waiting for the answer. */
  void submitRandom(RandomGenerator random) {
    String front = fronts.get(random.nextInt(fronts.size()));
    boolean gang = random.nextInt(4) == 0;
    int shortMillis = 50 + random.nextInt(1500);
    int millis = submitted % LONG_JOB_INTERVAL == 0 ? LONG_TASK_MILLIS : shortMillis;
    boolean cancel = random.nextInt(10) == 0;
    submit(front, millis, gang, cancel);
  }

  /** Submits a job whose tasks outlast a lease, without waiting for the answer. */
  void submitLong(RandomGenerator random) {
    submit(fronts.get(random.nextInt(fronts.size())), LONG_TASK_MILLIS, false, false);
  }

  private void submit(String front, int millis, boolean gang, boolean cancel) {
    String id = String.format("%08x%08x", seed & 0xffffffffL, submitted++);
    threads.execute(
        () -> {
          submissions.put(id, submit(front, id, millis, gang));
          if (cancel && submissions.get(id) == Submission.ACCEPTED) {
            cancel(front, id);
          }
        });
  }

  private Submission submit(String front, String id, int millis, boolean gang) {
    String body = StandInPlatform.jobBody(millis, TASKS_PER_JOB, gang);
    int status = call(front, id, "POST", body);
    if (status == STATUS_OK) {
      return Submission.ACCEPTED;
    }
    return status == 429 || status == 503 ? Submission.REFUSED : Submission.UNKNOWN;
  }

  private void cancel(String front, String id) {
    cancelled.add(id);
    call(front, id, "DELETE", "");
  }

  /** Sends a call about a job; returns the status, or 0 if there is no answer. */
  int call(String front, String id, String method, String body) {
    HttpResponse<String> response = send(front, id, method, body);
    return response == null ? 0 : response.statusCode();
  }

  /** Asks a VM how many jobs wait in a queue; returns the status, or 0 if there is no answer. */
  int count(int vm, String pathPrefix) {
    HttpResponse<String> response = sendTo(fronts.get(vm) + pathPrefix, "GET", "");
    return response == null ? 0 : response.statusCode();
  }

  private HttpResponse<String> send(String front, String id, String method, String body) {
    return sendTo(front + StandInPlatform.PATH_PREFIX + id, method, body);
  }

  /** Sends a call; returns null if there is no answer, for example after a connection reset. */
  private HttpResponse<String> sendTo(String target, String method, String body) {
    HttpRequest request =
        HttpRequest.newBuilder()
            .uri(URI.create("http://" + target))
            .header("Host", StandInPlatform.HOST)
            .timeout(CALL_TIMEOUT.plusSeconds(1))
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

  /** Waits for the answers and the end of each accepted job; returns the violations found. */
  List<String> finish(Duration timeout) throws InterruptedException {
    threads.shutdown();
    threads.awaitTermination(20, TimeUnit.SECONDS);
    List<String> violations = new ArrayList<>();
    long endNanos = System.nanoTime() + timeout.toNanos();
    for (Map.Entry<String, Submission> job : submissions.entrySet()) {
      if (job.getValue() == Submission.ACCEPTED && !ended(job.getKey(), endNanos)) {
        violations.add("accepted job " + job.getKey() + " did not end");
      }
    }
    return violations;
  }

  /** Waits until a job has ended; returns false if the time is over before. */
  boolean ended(String id, long endNanos) throws InterruptedException {
    int attempt = 0;
    while (System.nanoTime() < endNanos) {
      HttpResponse<String> answer = send(fronts.get(attempt++ % fronts.size()), id, "GET", "");
      String body = answer == null ? "" : answer.body();
      if (body.contains("done") || (cancelled.contains(id) && body.contains("cancelled"))) {
        return true;
      }
      Thread.sleep(50);
    }
    return false;
  }
}
