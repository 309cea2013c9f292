package org.masticspread.platform.http;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.SynchronousQueue;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import okhttp3.Dispatcher;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/** Keeps one caller per address, all on a shared thread pool. Thread-safe. */
final class HttpCallerRegistry implements AutoCloseable {
  private static final int IDLE_THREAD_SECONDS = 10;
  private static final String RETRY_AFTER = "Retry-After";

  private final Map<String, HttpCaller> callers = new ConcurrentHashMap<>();
  private final HttpSettings settings;
  private final OkHttpClient shared;
  private final ExecutorService threads;

  HttpCallerRegistry(HttpSettings settings) {
    this.settings = settings;
    this.threads =
        new ThreadPoolExecutor(
            0,
            Integer.MAX_VALUE,
            IDLE_THREAD_SECONDS,
            TimeUnit.SECONDS,
            new SynchronousQueue<>(),
            HttpCallerRegistry::daemonThread);
    Dispatcher dispatcher = new Dispatcher(threads);
    dispatcher.setMaxRequests(Integer.MAX_VALUE);
    dispatcher.setMaxRequestsPerHost(Integer.MAX_VALUE);
    this.shared =
        new OkHttpClient.Builder()
            .dispatcher(dispatcher)
            .connectTimeout(settings.connectTimeout())
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .writeTimeout(0, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .fastFallback(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .addNetworkInterceptor(HttpCallerRegistry::withoutRetryAfter)
            .eventListener(SentFlag.LISTENER)
            .build();
  }

  /** Returns the caller of an address, and replaces it if the connection limit has changed. */
  HttpCaller callerFor(String address, int maxConnections) {
    return callers.compute(
        address,
        (key, present) ->
            present != null && present.maxConnections() == maxConnections
                ? present
                : replace(present, maxConnections));
  }

  /** Returns the URL of a path at an address, which is a host with a port or a URL. */
  static String url(String address, String path) {
    String base = address.contains("://") ? address : "http://" + address;
    return base + path;
  }

  @Override
  public void close() {
    callers.values().forEach(HttpCaller::close);
    threads.shutdownNow();
  }

  private HttpCaller replace(HttpCaller previous, int maxConnections) {
    if (previous != null) {
      previous.close();
    }
    return new HttpCaller(shared, settings, maxConnections);
  }

  /** Removes the Retry-After header, since the client would otherwise resend a refused call. */
  private static Response withoutRetryAfter(Interceptor.Chain chain) throws java.io.IOException {
    return chain.proceed(chain.request()).newBuilder().removeHeader(RETRY_AFTER).build();
  }

  private static Thread daemonThread(Runnable task) {
    Thread thread = new Thread(task, "platform-http");
    thread.setDaemon(true);
    return thread;
  }
}
