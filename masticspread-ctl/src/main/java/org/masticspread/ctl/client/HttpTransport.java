package org.masticspread.ctl.client;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.HttpUrl;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;

/**
 * Sends calls to the first node that takes a connection.
 *
 * <p>The next node is tried only when nothing of the call was sent. Thread-safe.
 */
final class HttpTransport {
  private static final MediaType JSON = MediaType.get("application/json; charset=utf-8");
  private static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final List<HttpUrl> urls;
  private final String token;
  private final OkHttpClient http;

  HttpTransport(List<HttpUrl> urls, String token, Duration timeout) {
    this.urls = List.copyOf(urls);
    this.token = token;
    this.http =
        new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .connectTimeout(CONNECT_TIMEOUT)
            .readTimeout(Duration.ZERO)
            .writeTimeout(Duration.ZERO)
            .callTimeout(timeout)
            .eventListener(new SentMarker())
            .build();
  }

  HttpReply send(String method, List<String> path, byte[] body, Duration extraTime)
      throws IOException {
    NotSentException last = null;
    for (HttpUrl url : urls) {
      try {
        return sendTo(url, method, path, body, extraTime);
      } catch (NotSentException e) {
        last = e;
      }
    }
    throw last;
  }

  private HttpReply sendTo(
      HttpUrl url, String method, List<String> path, byte[] body, Duration extraTime)
      throws IOException {
    Sent sent = new Sent(new AtomicBoolean());
    Request request = request(url, method, path, body, sent);
    OkHttpClient client =
        http.newBuilder()
            .callTimeout(Duration.ofMillis(http.callTimeoutMillis()).plus(extraTime))
            .build();
    try (Response response = client.newCall(request).execute()) {
      return new HttpReply(response.code(), response.body().bytes());
    } catch (IOException e) {
      if (sent.mark().get()) {
        throw e;
      }
      throw new NotSentException(url + ": " + e.getMessage(), e);
    }
  }

  private Request request(HttpUrl url, String method, List<String> path, byte[] body, Sent sent) {
    HttpUrl.Builder target = url.newBuilder();
    path.forEach(p -> addPart(target, p));
    RequestBody content = body == null ? null : RequestBody.create(body, JSON);
    Request.Builder request =
        new Request.Builder().url(target.build()).method(method, content).tag(Sent.class, sent);
    if (token != null) {
      request.header("Authorization", "Bearer " + token);
    }
    return request.build();
  }

  private static void addPart(HttpUrl.Builder target, String part) {
    if (!part.startsWith("?")) {
      target.addPathSegment(part);
      return;
    }
    int equals = part.indexOf('=');
    target.addQueryParameter(part.substring(1, equals), part.substring(equals + 1));
  }

  private record Sent(AtomicBoolean mark) {}

  private static final class SentMarker extends EventListener {
    @Override
    public void requestHeadersStart(Call call) {
      call.request().tag(Sent.class).mark().set(true);
    }
  }
}
