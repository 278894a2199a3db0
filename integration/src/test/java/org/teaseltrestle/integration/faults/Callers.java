package org.teaseltrestle.integration.faults;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Proxy;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;
import okhttp3.Call;
import okhttp3.EventListener;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.http.HttpClients;
import org.teaseltrestle.testkit.http.Json;
import org.teaseltrestle.testkit.trace.TraceEntry;

/** Callers of service {@code iard}; counts the connections that they open. */
final class Callers {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int PROMPT_TOKENS = 40;

  private final AtomicInteger connections = new AtomicInteger();
  private final OkHttpClient client =
      HttpClients.create(Duration.ofSeconds(20))
          .newBuilder()
          .eventListener(
              new EventListener() {
                @Override
                public void connectStart(Call call, InetSocketAddress address, Proxy proxy) {
                  connections.incrementAndGet();
                }
              })
          .build();

  /**
   * What a caller got.
   *
   * @param status HTTP status, 0 when the connection failed
   * @param body answer
   */
  record Reply(int status, String body) {

    /** Returns the refusal code, empty if the answer is none. */
    String code() {
      try {
        JsonNode answer = Json.parse(body);
        return answer.path("error").path("code").asText("");
      } catch (TrestleException e) {
        return "";
      }
    }
  }

  /** Returns the number of connections opened so far. */
  int connections() {
    return connections.get();
  }

  /** Asks for something that needs a key. */
  Reply get(String address, String key) {
    return send(request(address, "/stock").header("Authorization", "Bearer " + key).build());
  }

  /** Asks an open route. */
  Reply getOpen(String address) {
    return send(request(address, "/opening-hours").build());
  }

  /** Places a hold under an idempotency key. */
  Reply hold(String address, String key, String idempotencyKey, String body) {
    return send(
        request(address, "/holds")
            .header("Authorization", "Bearer " + key)
            .header("Idempotency-Key", idempotencyKey)
            .post(RequestBody.create(body, JSON))
            .build());
  }

  /** Returns streamed requests that arrive evenly. */
  static List<TraceEntry> streams(int count, long everyMillis, int outputTokens) {
    List<TraceEntry> trace = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      trace.add(
          TraceEntry.chat(
              i * everyMillis, "yard-north", "pren-7b", PROMPT_TOKENS, outputTokens, null, 0));
    }
    return trace;
  }

  private static Request.Builder request(String address, String path) {
    return new Request.Builder().url("http://" + address + "/services/iard" + path);
  }

  private Reply send(Request request) {
    try (Response response = client.newCall(request).execute()) {
      String text = response.body() == null ? "" : response.body().string();
      return new Reply(response.code(), text);
    } catch (IOException e) {
      return new Reply(0, String.valueOf(e));
    }
  }
}
