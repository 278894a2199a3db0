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
import org.teaseltrestle.kernel.MonotonicClock;

/**
 * HTTP clients that send each request at most once.
 *
 * <p>By default, OkHttp retries a request after a stale connection, after status 408, and after
 * status 503 with {@code Retry-After: 0}. {@code retryOnConnectionFailure(false)} disables the
 * first two, but not the third, so a network interceptor hides that header from OkHttp's retry
 * logic.
 *
 * <p>Each call opens a connection. On a reused connection a late second copy of a response would be
 * read as that of the next call, and every later response as that of the call after its own.
 */
public final class BackendHttp implements AutoCloseable {

  /** Name that the header {@code Retry-After} has while it is hidden from OkHttp. */
  static final String HIDDEN_RETRY_AFTER = "X-Trestle-Hidden-Retry-After";

  /** Bytes without a part of a response body; more than any sound response head has. */
  static final int MAXIMUM_UNDELIVERED_BYTES = 128 * 1024;

  private static final int MAXIMUM_SHORT_RESPONSE_BYTES = 4 * 1024 * 1024;
  private static final Duration SHORT_CALL_TIMEOUT = Duration.ofMillis(800);

  private final OkHttpClient fresh;
  private final OkHttpClient shortCalls;
  private final OkHttpClient withoutReadTimeout;

  // By read timeout. Timeouts are settings, so there are few; a client for each call would be
  // costly.
  private final Map<Duration, OkHttpClient> freshByTimeout = new ConcurrentHashMap<>();

  /**
   * Creates the clients.
   *
   * @param connectTimeout longest wait for a connection
   * @param writeTimeout longest wait for a backend server to accept bytes of a request
   */
  public BackendHttp(Duration connectTimeout, Duration writeTimeout) {
    this.fresh =
        new OkHttpClient.Builder()
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .proxy(Proxy.NO_PROXY)
            .connectTimeout(connectTimeout)
            .writeTimeout(writeTimeout)
            .connectionPool(new ConnectionPool(0, 1, TimeUnit.SECONDS))
            .socketFactory(
                new BoundedSocketFactory(MonotonicClock.SYSTEM, MAXIMUM_UNDELIVERED_BYTES))
            .eventListenerFactory(AttemptProgress.LISTENER_FACTORY)
            .addNetworkInterceptor(BackendHttp::hideRetryAfter)
            .addNetworkInterceptor(ResponseHeads::receive)
            .build();
    this.withoutReadTimeout = fresh.newBuilder().readTimeout(Duration.ZERO).build();
    this.shortCalls =
        fresh
            .newBuilder()
            .callTimeout(SHORT_CALL_TIMEOUT)
            .socketFactory(
                new BoundedSocketFactory(MonotonicClock.SYSTEM, MAXIMUM_SHORT_RESPONSE_BYTES))
            .build();
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

  /**
   * Returns the client for orders, status reads and other short calls, each on a connection of its
   * own, with a timeout for the complete call.
   */
  OkHttpClient shortCalls() {
    return shortCalls;
  }

  @Override
  public void close() {
    fresh.connectionPool().evictAll();
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
