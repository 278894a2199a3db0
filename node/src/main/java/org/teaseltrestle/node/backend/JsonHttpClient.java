package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.HeaderField;

/** Client for short calls with JSON bodies; each request is sent once. */
public final class JsonHttpClient {

  private static final MediaType JSON = MediaType.get("application/json");

  private final BackendHttp http;

  /** Creates a client that sends its requests with the given HTTP clients. */
  public JsonHttpClient(BackendHttp http) {
    this.http = http;
  }

  /**
   * Response to a call, whatever its status.
   *
   * @param status HTTP status
   * @param body body as received
   */
  public record Reply(int status, byte[] body) {}

  /**
   * Sends a GET request.
   *
   * @throws TrestleException with {@link ErrorCode#UNREACHABLE} if no complete response arrives in
   *     time
   */
  public Reply get(String address, String target) {
    return send("GET", address, target, List.of(), null, response -> {});
  }

  /**
   * Sends a POST request. If no response arrives, the receiver may have run the request
   * nevertheless.
   *
   * @throws TrestleException with {@link ErrorCode#UNREACHABLE} if no complete response arrives in
   *     time
   */
  public Reply post(String address, String target, List<HeaderField> headers, byte[] body) {
    return send("POST", address, target, headers, new OneShotBody(body, JSON), response -> {});
  }

  /**
   * Sends a POST request that has no identifier to a backend server.
   *
   * @throws TrestleException with {@link ErrorCode#UNREACHABLE} if no complete response arrives in
   *     time, or the response names a request
   */
  public Reply postToServer(String address, String target, List<HeaderField> headers, byte[] body) {
    return send(
        "POST", address, target, headers, new OneShotBody(body, JSON), ResponseIdentities::check);
  }

  private Reply send(
      String method,
      String address,
      String target,
      List<HeaderField> headers,
      @Nullable RequestBody body,
      Consumer<Response> identityCheck) {
    Request.Builder request =
        new Request.Builder().url(BackendAddress.url(address, target)).method(method, body);
    headers.forEach(field -> request.header(field.name(), field.value()));
    try (Response response = http.shortCalls().newCall(request.build()).execute()) {
      identityCheck.accept(response);
      ResponseBody content = response.body();
      return new Reply(response.code(), content == null ? new byte[0] : content.bytes());
    } catch (IOException e) {
      throw new TrestleException(
          ErrorCode.UNREACHABLE,
          method + " " + target + " at " + address + " received no response: " + e.getMessage(),
          e);
    }
  }
}
