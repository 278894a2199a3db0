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
 * Calls the operators' API of the first node that answers. A change is sent to the next node under
 * the same request id when an answer is lost, so it is made once.
 */
final class OperatorClient {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final long CONNECT_TIMEOUT_MILLISECONDS = 2_000;
  // Longer than a node waits for the leader.
  private static final long CALL_TIMEOUT_MILLISECONDS = 12_000;
  private static final long ROUND_PAUSE_MILLISECONDS = 200;

  private final List<String> addresses;
  private final String token;
  private final long deadlineNanos;
  private final OkHttpClient client;

  /**
   * Creates a client.
   *
   * @param addresses nodes in the order of trial
   * @param token operators' token, or empty
   * @param deadlineNanos time on {@link System#nanoTime} at which the client gives up
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
            // The client resends itself, to the next node.
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
    String lastFailure = "no operator address is given";
    while (true) {
      for (String address : addresses) {
        try {
          Answer answer = send(address, path, body);
          if (answer.status() != 503) {
            return read(address, answer, type);
          }
          lastFailure = address + ": " + errorOf(answer).message();
        } catch (IOException e) {
          lastFailure = address + ": " + e.getMessage();
        }
      }
      if (addresses.isEmpty() || System.nanoTime() - deadlineNanos >= 0) {
        throw new TrestleException(ErrorCode.UNREACHABLE, "no node answers; " + lastFailure);
      }
      pause();
    }
  }

  private Answer send(String address, String path, @Nullable String body) throws IOException {
    Request.Builder request = new Request.Builder().url(baseUrl(address) + path);
    if (!token.isEmpty()) {
      request.header("Authorization", "Bearer " + token);
    }
    if (body != null) {
      request.post(RequestBody.create(body, JSON));
    }
    try (Response response = client.newCall(request.build()).execute()) {
      @Nullable ResponseBody content = response.body();
      return new Answer(response.code(), content == null ? "" : content.string());
    }
  }

  private static <T> T read(String address, Answer answer, Class<T> type) {
    return switch (answer.status()) {
      // A change that is in conflict or rejected is answered with its record.
      case 200, 409, 422 -> OperatorJson.readAnswer(answer.body(), type);
      default ->
          throw new TrestleException(
              ErrorCode.REFUSED,
              address + " answered " + answer.status() + ": " + errorOf(answer).message());
    };
  }

  private static OperatorError errorOf(Answer answer) {
    try {
      return OperatorJson.readAnswer(answer.body(), OperatorError.class);
    } catch (TrestleException e) {
      return new OperatorError("unknown", "status " + answer.status());
    }
  }

  private static String baseUrl(String address) {
    return address.contains("://") ? address : "http://" + address;
  }

  private static void pause() {
    try {
      TimeUnit.MILLISECONDS.sleep(ROUND_PAUSE_MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted", e);
    }
  }

  private record Answer(int status, String body) {}
}
