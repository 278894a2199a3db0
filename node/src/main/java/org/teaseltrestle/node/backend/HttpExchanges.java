package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.util.List;
import okhttp3.MediaType;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.HeaderField;

/** Short calls with JSON bodies, each sent once. */
public final class HttpExchanges {

  private static final MediaType JSON = MediaType.get("application/json");

  private final BackendHttp http;

  /** Creates the calls. */
  public HttpExchanges(BackendHttp http) {
    this.http = http;
  }

  /**
   * Answer to a call.
   *
   * @param status HTTP status
   * @param body body as received
   */
  public record Reply(int status, byte[] body) {}

  /**
   * Reads a resource.
   *
   * @throws TrestleException with {@link ErrorCode#UNREACHABLE} if no whole answer comes in time
   */
  public Reply get(String address, String target) {
    return send("GET", address, target, List.of(), null);
  }

  /**
   * Posts a body. Without an answer the receiver may have acted nevertheless.
   *
   * @throws TrestleException with {@link ErrorCode#UNREACHABLE} if no whole answer comes in time
   */
  public Reply post(String address, String target, List<HeaderField> headers, byte[] body) {
    return send("POST", address, target, headers, new OneShotBody(body, JSON));
  }

  private Reply send(
      String method,
      String address,
      String target,
      List<HeaderField> headers,
      @Nullable RequestBody body) {
    Request.Builder request =
        new Request.Builder().url(BackendAddress.url(address, target)).method(method, body);
    headers.forEach(field -> request.header(field.name(), field.value()));
    try (Response response = http.polling().newCall(request.build()).execute()) {
      ResponseBody received = response.body();
      return new Reply(response.code(), received == null ? new byte[0] : received.bytes());
    } catch (IOException e) {
      throw new TrestleException(
          ErrorCode.UNREACHABLE,
          method + " " + target + " at " + address + " got no answer: " + e.getMessage(),
          e);
    }
  }
}
