package org.teaseltrestle.testkit.http;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import okhttp3.ConnectionPool;
import okhttp3.Dispatcher;
import okhttp3.MediaType;
import okhttp3.OkHttpClient;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/** HTTP clients without automatic retries and redirects, so that each call is one request. */
public final class HttpClients {

  private static final MediaType JSON = MediaType.get("application/json");
  private static final int MAXIMUM_CONNECTIONS = 512;
  private static final OkHttpClient SHARED = create(Duration.ofSeconds(10));

  private HttpClients() {}

  /** Creates a client with a read timeout and connections of its own. */
  public static OkHttpClient create(Duration readTimeout) {
    Dispatcher dispatcher = new Dispatcher();
    dispatcher.setMaxRequests(MAXIMUM_CONNECTIONS);
    dispatcher.setMaxRequestsPerHost(MAXIMUM_CONNECTIONS);
    return new OkHttpClient.Builder()
        .retryOnConnectionFailure(false)
        .followRedirects(false)
        .followSslRedirects(false)
        .dispatcher(dispatcher)
        .connectTimeout(Duration.ofSeconds(2))
        .readTimeout(readTimeout)
        .connectionPool(new ConnectionPool(64, 5, TimeUnit.SECONDS))
        .build();
  }

  /**
   * Sends a GET and returns the body; throws {@code UNREACHABLE} on any failure or non-2xx status.
   */
  public static String get(String url) {
    return send(new Request.Builder().url(url).build());
  }

  /** Sends a GET and returns the body as JSON; throws as {@link #get} does. */
  public static JsonNode getJson(String url) {
    return Json.parse(get(url));
  }

  /** Sends a GET with a bearer token and returns the body as JSON; throws as {@link #get} does. */
  public static JsonNode getJson(String url, String token) {
    String authorization = "Bearer " + token;
    return Json.parse(
        send(new Request.Builder().url(url).header("Authorization", authorization).build()));
  }

  /**
   * Sends a POST with a JSON body, or an empty one if it is null, and returns the response body;
   * throws as {@link #get} does.
   */
  public static String post(String url, @Nullable JsonNode body) {
    String text = body == null ? "" : body.toString();
    return send(new Request.Builder().url(url).post(RequestBody.create(text, JSON)).build());
  }

  /** Sends a GET and returns its status, or 0 if there was no response. */
  public static int status(String url) {
    try (Response response = SHARED.newCall(new Request.Builder().url(url).build()).execute()) {
      return response.code();
    } catch (IOException e) {
      return 0;
    }
  }

  private static String send(Request request) {
    try (Response response = SHARED.newCall(request).execute()) {
      String text = response.body() == null ? "" : response.body().string();
      if (!response.isSuccessful()) {
        throw new TrestleException(
            ErrorCode.UNREACHABLE,
            request.url() + " responded with status " + response.code() + ": " + text);
      }
      return text;
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.UNREACHABLE, request.url() + ": " + e.getMessage(), e);
    }
  }
}
