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
 * <p>By default, OkHttp retries a request after a stale connection, after status 408, and after
 * status 503 with {@code Retry-After: 0}. {@code retryOnConnectionFailure(false)} disables the
 * first two, but not the third, so a network interceptor hides that header from OkHttp's retry
 * logic.
 */
public final class BackendHttp implements AutoCloseable {

  /** Name that the header {@code Retry-After} has while it is hidden from OkHttp. */
  static final String HIDDEN_RETRY_AFTER = "X-Trestle-Hidden-Retry-After";

  private static final int MAXIMUM_IDLE_CONNECTIONS = 256;
  private static final long KEEP_ALIVE_SECONDS = 30;
  private static final Duration POLLING_TIMEOUT = Duration.ofMillis(800);

  private final OkHttpClient pooled;
  private final OkHttpClient fresh;
  private final OkHttpClient polling;
  private final OkHttpClient withoutReadTimeout;

  // By read timeout. Timeouts are settings, so there are few; a client for each call would be
  // costly.
  private final Map<Duration, OkHttpClient> pooledByTimeout = new ConcurrentHashMap<>();
  private final Map<Duration, OkHttpClient> freshByTimeout = new ConcurrentHashMap<>();

  /**
   * Creates the clients.
   *
   * @param connectTimeout longest wait for a connection
   * @param writeTimeout longest wait for a backend server to accept bytes of a request
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
                new ConnectionPool(MAXIMUM_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
            .eventListenerFactory(AttemptProgress.LISTENER_FACTORY)
            .addNetworkInterceptor(BackendHttp::hideRetryAfter)
            .build();
    this.fresh =
        pooled.newBuilder().connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS)).build();
    this.withoutReadTimeout =
        fresh
            .newBuilder()
            .readTimeout(Duration.ZERO)
            .socketFactory(new NoDelaySocketFactory())
            .build();
    this.polling =
        pooled
            .newBuilder()
            .callTimeout(POLLING_TIMEOUT)
            .connectionPool(
                new ConnectionPool(MAXIMUM_IDLE_CONNECTIONS, KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
            .build();
  }

  /** Returns the client that reuses connections, with a timeout for each read. */
  OkHttpClient pooled(Duration readTimeout) {
    return pooledByTimeout.computeIfAbsent(
        readTimeout, timeout -> pooled.newBuilder().readTimeout(timeout).build());
  }

  /** Returns the client that opens a connection for each call, with a timeout for each read. */
  OkHttpClient fresh(Duration readTimeout) {
    return freshByTimeout.computeIfAbsent(
        readTimeout, timeout -> fresh.newBuilder().readTimeout(timeout).build());
  }

  /**
   * Returns the client that opens a connection for each call and has no read timeout; the user must
   * cancel the call at its deadline.
   */
  OkHttpClient withoutReadTimeout() {
    return withoutReadTimeout;
  }

  /** Returns the client for short background calls, with a timeout for the complete call. */
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
