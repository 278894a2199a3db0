package org.teaseltrestle.node.backend;

import java.net.Proxy;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Interceptor;
import okhttp3.OkHttpClient;
import okhttp3.Response;

/**
 * HTTP clients that send each request at most once.
 *
 * <p>OkHttp on its own sends a request again after a stale connection, after status 408, and after
 * status 503 with {@code Retry-After: 0}. The first two are switched off by {@code
 * retryOnConnectionFailure(false)}. The third is not, so a network interceptor hides the header
 * from the follow-up logic.
 */
public final class BackendHttp implements AutoCloseable {

  /** Name under which the header {@code Retry-After} of a backend server is kept. */
  static final String HIDDEN_RETRY_AFTER = "X-Trestle-Hidden-Retry-After";

  private static final int IDLE_CONNECTIONS = 256;
  private static final long KEEP_ALIVE_SECONDS = 30;
  private static final Duration POLL_TIMEOUT = Duration.ofMillis(800);

  private final OkHttpClient pooled;
  private final OkHttpClient fresh;
  private final OkHttpClient polling;
  private final OkHttpClient unbounded;

  // Timeouts are settings, so there are few; building a client for each call is costly.
  private final Map<Duration, OkHttpClient> pooledByTimeout = new ConcurrentHashMap<>();
  private final Map<Duration, OkHttpClient> freshByTimeout = new ConcurrentHashMap<>();

  /**
   * Creates the clients.
   *
   * @param connectTimeout longest wait for a connection
   * @param writeTimeout longest wait for a backend server to take request bytes
   */
  public BackendHttp(Duration connectTimeout, Duration writeTimeout) {
    this.pooled =
        new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .proxy(Proxy.NO_PROXY)
            .connectTimeout(connectTimeout)
            .writeTimeout(writeTimeout)
            .connectionPool(
                new ConnectionPool(IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
            .eventListenerFactory(AttemptProgress.LISTENERS)
            .addNetworkInterceptor(BackendHttp::hideRetryAfter)
            .build();
    this.fresh =
        pooled.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS)).build();
    this.unbounded =
        fresh.newBuilder().readTimeout(Duration.ZERO).socketFactory(new PromptSockets()).build();
    this.polling =
        pooled
            .newBuilder()
            .callTimeout(POLL_TIMEOUT)
            .connectionPool(
                new ConnectionPool(IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
            .build();
  }

  /** Returns the client that keeps connections, with a limit on the wait for each read. */
  OkHttpClient pooled(Duration readTimeout) {
    return pooledByTimeout.computeIfAbsent(
        readTimeout, timeout -> pooled.newBuilder().readTimeout(timeout).build());
  }

  /** Returns the client that opens a connection for each call. */
  OkHttpClient fresh(Duration readTimeout) {
    return freshByTimeout.computeIfAbsent(
        readTimeout, timeout -> fresh.newBuilder().readTimeout(timeout).build());
  }

  /**
   * Returns the client that opens a connection for each call and sets no limit on the wait for a
   * read: the caller cancels the call when its time is over.
   */
  OkHttpClient unbounded() {
    return unbounded;
  }

  /** Returns the client for short calls in the background. */
  OkHttpClient polling() {
    return polling;
  }

  @Override
  public void close() {
    pooled.connectionPool().evictAll();
    polling.connectionPool().evictAll();
  }

  private static Response hideRetryAfter(Interceptor.Chain chain) throws java.io.IOException {
    Response response = chain.proceed(chain.request());
    String value = response.header("Retry-After");
    if (value == null) {
      return response;
    }
    return response
        .newBuilder()
        .removeHeader("Retry-After")
        .header(HIDDEN_RETRY_AFTER, value)
        .build();
  }
}
