package org.teaseltrestle.commandline;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.TimeUnit;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.model.operators.OperatorError;
import org.teaseltrestle.model.operators.OperatorJson;

/**
 * Calls the operators' API of the first node that responds. If a response is lost, a change is sent
 * to the next node with the same request id, so that it is applied only once.
 */
final class OperatorClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final long CONNECT_TIMEOUT_MILLISECONDS = 2_000;
  // Must exceed the time for which a node waits for the leader.
  private static final long CALL_TIMEOUT_MILLISECONDS = 12_000;
  private static final long RETRY_PAUSE_MILLISECONDS = 200;

  private final List<String> addresses;
  private final String token;
  private final long deadlineNanos;
  private final OkHttpClient client;

  /**
   * Creates a client.
   *
   * @param addresses operator addresses of nodes, tried in this order
   * @param token operators' token, empty to send none
   * @param deadlineNanos time on the clock of {@link System#nanoTime} after which no node is
   *     retried
   */
  OperatorClient(List<String> addresses, String token, long deadlineNanos) {
    this.addresses = addresses;
    this.token = token;
    this.deadlineNanos = deadlineNanos;
    this.client =
        new OkHttpClient.Builder()
            .connectTimeout(CONNECT_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
            .readTimeout(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
            .callTimeout(CALL_TIMEOUT_MILLISECONDS, TimeUnit.MILLISECONDS)
            // This class retries itself, with the next node.
            .retryOnConnectionFailure(false)
            .build();
  }

  <T> T get(String path, Class<T> type) {
    return call(path, null, type);
  }

  <T> T post(String path, Object body, Class<T> type) {
    return call(path, OperatorJson.write(body), type);
  }

  private <T> T call(String path, @Nullable String body, Class<T> type) {
    String lastFailure = "no operator address is specified";
    while (true) {
      for (String address : addresses) {
        try {
          HttpResult result = send(address, path, body);
          if (result.status() != 503) {
            return read(address, result, type);
          }
          lastFailure = address + ": " + errorOf(result).message();
        } catch (IOException e) {
          lastFailure = address + ": " + e.getMessage();
        }
      }
      if (addresses.isEmpty() || System.nanoTime() - deadlineNanos >= 0) {
        throw new TrestleException(ErrorCode.UNREACHABLE, "no node responds; " + lastFailure);
      }
      pause();
    }
  }

  private HttpResult send(String address, String path, @Nullable String body) throws IOException {
    Request.Builder request = new Request.Builder().url(baseUrl(address) + path);
    if (!token.isEmpty()) {
      request.header("Authorization", "Bearer " + token);
    }
    if (body != null) {
      request.post(RequestBody.create(body, JSON));
    }
    try (Response response = client.newCall(request.build()).execute()) {
      @Nullable ResponseBody content = response.body();
      return new HttpResult(response.code(), content == null ? "" : content.string());
    }
  }

  private static <T> T read(String address, HttpResult result, Class<T> type) {
    return switch (result.status()) {
      // The response to a conflicting or rejected change is a record of the same type.
      case 200, 409, 422 -> OperatorJson.readResponse(result.body(), type);
      default ->
          throw new TrestleException(
              ErrorCode.REFUSED,
              address
                  + " responded with status "
                  + result.status()
                  + ": "
                  + errorOf(result).message());
    };
  }

  private static OperatorError errorOf(HttpResult result) {
    try {
      return OperatorJson.readResponse(result.body(), OperatorError.class);
    } catch (TrestleException e) {
      return new OperatorError("unknown", "status " + result.status());
    }
  }

  private static String baseUrl(String address) {
    return address.contains("://") ? address : "http://" + address;
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(RETRY_PAUSE_MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted", e);
    }
  }

  private record HttpResult(int status, String body) {}
}
