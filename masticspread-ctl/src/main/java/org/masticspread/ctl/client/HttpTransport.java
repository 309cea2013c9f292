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
 * A transport that sends each call to the first node that accepts a connection.
 *
 * <p>It tries the next node only if no part of the call was sent, so that a call never runs twice.
 * Thread-safe.
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
            .eventListener(new SendStateListener())
            .build();
  }

  HttpReply send(String method, List<String> path, byte[] body, Duration extraTime)
      throws IOException {
    NotSentException lastFailure = null;
    for (HttpUrl url : urls) {
      try {
        return sendTo(url, method, path, body, extraTime);
      } catch (NotSentException e) {
        lastFailure = e;
      }
    }
    throw lastFailure;
  }

  private HttpReply sendTo(
      HttpUrl url, String method, List<String> path, byte[] body, Duration extraTime)
      throws IOException {
    SendState sendState = new SendState(new AtomicBoolean());
    Request request = request(url, method, path, body, sendState);
    OkHttpClient client =
        http.newBuilder()
            .callTimeout(Duration.ofMillis(http.callTimeoutMillis()).plus(extraTime))
            .build();
    try (Response response = client.newCall(request).execute()) {
      return new HttpReply(response.code(), response.body().bytes());
    } catch (IOException e) {
      if (sendState.mark().get()) {
        throw e;
      }
      throw new NotSentException(url + ": " + e.getMessage(), e);
    }
  }

  private Request request(
      HttpUrl url, String method, List<String> path, byte[] body, SendState sendState) {
    HttpUrl.Builder target = url.newBuilder();
    path.forEach(p -> addSegmentOrQuery(target, p));
    RequestBody content = body == null ? null : RequestBody.create(body, JSON);
    Request.Builder request =
        new Request.Builder()
            .url(target.build())
            .method(method, content)
            .tag(SendState.class, sendState);
    if (token != null) {
      request.header("Authorization", "Bearer " + token);
    }
    return request.build();
  }

  private static void addSegmentOrQuery(HttpUrl.Builder target, String part) {
    if (!part.startsWith("?")) {
      target.addPathSegment(part);
      return;
    }
    int equals = part.indexOf('=');
    target.addQueryParameter(part.substring(1, equals), part.substring(equals + 1));
  }

  private record SendState(AtomicBoolean mark) {}

  private static final class SendStateListener extends EventListener {
    @Override
    public void requestHeadersStart(Call call) {
      call.request().tag(SendState.class).mark().set(true);
    }
  }
}
