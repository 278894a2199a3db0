package org.teaseltrestle.integration.faults;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
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

/** HTTP client for the service {@code iard} that counts the connections it opens. */
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
   * Response that a caller received.
   *
   * @param status HTTP status, 0 if the connection failed
   * @param body response body, or the exception if the connection failed
   */
  record Reply(int status, String body) {

    /** Returns the refusal code, empty if the response is not a refusal. */
    String code() {
      try {
        JsonNode tree = Json.parse(body);
        return tree.path("error").path("code").asText("");
      } catch (TrestleException e) {
        return "";
      }
    }
  }

  /** Returns the number of connections opened so far. */
  int connections() {
    return connections.get();
  }

  /** Requests a route that requires a key. */
  Reply get(String address, String key) {
    return send(request(address, "/stock").header("Authorization", "Bearer " + key).build());
  }

  /** Requests a route that requires no key. */
  Reply getOpen(String address) {
    return send(request(address, "/opening-hours").build());
  }

  /** Asks a model that answers with one token. */
  Reply chat(String address, String key, String prompt) {
    ObjectNode body = Json.object().put("model", "pren-7b").put("max_tokens", 1);
    body.putArray("messages").addObject().put("role", "user").put("content", prompt);
    return send(
        new Request.Builder()
            .url("http://" + address + "/v1/chat/completions")
            .header("Authorization", "Bearer " + key)
            .post(RequestBody.create(body.toString(), JSON))
            .build());
  }

  /** Places a hold with an idempotency key. */
  Reply hold(String address, String key, String idempotencyKey, String body) {
    return send(
        request(address, "/holds")
            .header("Authorization", "Bearer " + key)
            .header("Idempotency-Key", idempotencyKey)
            .post(RequestBody.create(body, JSON))
            .build());
  }

  /** Returns a trace of streamed requests at equal intervals. */
  static List<TraceEntry> streams(int count, long intervalMillis, int outputTokens) {
    List<TraceEntry> trace = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      trace.add(
          TraceEntry.chat(
              i * intervalMillis, "yard-north", "pren-7b", PROMPT_TOKENS, outputTokens, null, 0));
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
