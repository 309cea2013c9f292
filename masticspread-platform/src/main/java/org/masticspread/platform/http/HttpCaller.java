package org.masticspread.platform.http;

import java.io.IOException;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import okhttp3.Call;
import okhttp3.Callback;
import okhttp3.ConnectionPool;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import okio.BufferedSink;

/** HTTP client of one address, with its own connection pool. Thread-safe. */
final class HttpCaller implements AutoCloseable {
  private static final MediaType JSON = MediaType.get("application/json");
  private static final Duration IDLE_TIMEOUT = Duration.ofMinutes(5);
  private static final AtomicLong CALLS = new AtomicLong();

  private final OkHttpClient client;
  private final HttpSettings settings;
  private final Semaphore connections;
  private final int maxConnections;

  HttpCaller(OkHttpClient shared, HttpSettings settings, int maxConnections) {
    this.client =
        shared
            .newBuilder()
            .connectionPool(
                new ConnectionPool(maxConnections, IDLE_TIMEOUT.toSeconds(), TimeUnit.SECONDS))
            .build();
    this.settings = settings;
    this.connections = new Semaphore(maxConnections);
    this.maxConnections = maxConnections;
  }

  int maxConnections() {
    return maxConnections;
  }

  /** Sends a body and blocks until the complete answer has arrived. */
  HttpResult execute(String url, byte[] body) {
    if (!connections.tryAcquire()) {
      return HttpResult.notSent("all connections are in use");
    }
    try {
      Request request = request(url, body, "call");
      Call call = call(request, settings.callTimeout());
      return result(call, request);
    } finally {
      connections.release();
    }
  }

  /** Sends a body; the future completes on a thread of the client. */
  CompletableFuture<HttpResult> enqueue(String url, byte[] body, String name, Duration timeout) {
    if (!connections.tryAcquire()) {
      return CompletableFuture.completedFuture(HttpResult.notSent("all connections are in use"));
    }
    CompletableFuture<HttpResult> done = new CompletableFuture<>();
    Request request = request(url, body, name);
    call(request, timeout)
        .enqueue(
            new Callback() {
              @Override
              public void onFailure(Call call, IOException e) {
                finish(done, failureResult(request, e));
              }

              @Override
              public void onResponse(Call call, Response response) {
                finish(done, readOrFail(request, response));
              }
            });
    return done;
  }

  @Override
  public void close() {
    client.connectionPool().evictAll();
  }

  private void finish(CompletableFuture<HttpResult> done, HttpResult result) {
    connections.release();
    done.complete(result);
  }

  private HttpResult result(Call call, Request request) {
    try (Response response = call.execute()) {
      return read(request, response);
    } catch (IOException | RuntimeException e) {
      return failureResult(request, e);
    }
  }

  private HttpResult readOrFail(Request request, Response response) {
    try (response) {
      return read(request, response);
    } catch (IOException | RuntimeException e) {
      return failureResult(request, e);
    }
  }

  private HttpResult failureResult(Request request, Exception e) {
    client.connectionPool().evictAll();
    SentFlag flag = request.tag(SentFlag.class);
    String detail = String.valueOf(e.getMessage());
    return flag != null && !flag.mayHaveBeenSent()
        ? HttpResult.notSent(detail)
        : HttpResult.noAnswer(detail);
  }

  private HttpResult read(Request request, Response response) throws IOException {
    String id = request.header(Protocol.CALL_ID);
    if (id == null || !id.equals(response.header(Protocol.CALL_ID))) {
      return HttpResult.noAnswer("the answer belongs to another call");
    }
    ResponseBody body = response.body();
    long length = body.contentLength();
    if (length < 0 || length > settings.maxAnswerBytes()) {
      return HttpResult.noAnswer("invalid answer length: " + length);
    }
    Optional<byte[]> content = Protocol.removeMarker(body.bytes(), id);
    String outcome = response.header(Protocol.OUTCOME, response.isSuccessful() ? "ok" : "error");
    return content
        .map(bytes -> HttpResult.answered(outcome, bytes))
        .orElseGet(() -> HttpResult.noAnswer("incomplete answer"));
  }

  private Call call(Request request, Duration timeout) {
    Call call = client.newCall(request);
    call.timeout().timeout(timeout.toNanos(), TimeUnit.NANOSECONDS);
    return call;
  }

  private static Request request(String url, byte[] body, String name) {
    return new Request.Builder()
        .url(url)
        .header(Protocol.CALL_ID, name + "-" + Long.toHexString(CALLS.incrementAndGet()))
        .tag(SentFlag.class, new SentFlag())
        .post(new OneShotBody(body))
        .build();
  }

  /** A request body that the client must not resend on its own. */
  private static final class OneShotBody extends RequestBody {
    private final byte[] bytes;

    OneShotBody(byte[] bytes) {
      this.bytes = bytes;
    }

    @Override
    public MediaType contentType() {
      return JSON;
    }

    @Override
    public long contentLength() {
      return bytes.length;
    }

    @Override
    public boolean isOneShot() {
      return true;
    }

    @Override
    public void writeTo(BufferedSink sink) throws IOException {
      sink.write(bytes);
    }
  }
}
