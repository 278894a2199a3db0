package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ResponseFraming;
import org.teaseltrestle.node.port.RoutedCall;
import org.teaseltrestle.node.port.RoutedClient;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.FailureKind;

/**
 * Sends routed requests over HTTP, each attempt on a new connection: a late or repeated response
 * then cannot be taken for that of another request, and no request is lost on a connection that the
 * backend server has just closed.
 */
public final class HttpRoutedClient implements RoutedClient {

  private final BackendHttp http;
  private final Runnable onArrival;

  /** Creates a client that sends its requests with the given HTTP clients. */
  public HttpRoutedClient(BackendHttp http) {
    this(http, () -> {});
  }

  /**
   * Creates a client that reports what arrives.
   *
   * @param onArrival called when a connection is made and whenever bytes of a server arrive, not
   *     when bytes are read that arrived before
   */
  public HttpRoutedClient(BackendHttp http, Runnable onArrival) {
    this.http = http;
    this.onArrival = onArrival;
  }

  @Override
  public ServiceResponse call(RoutedCall call) {
    AttemptProgress progress = AttemptProgress.reportingArrivals(call.handle(), onArrival);
    Call httpCall = http.withoutReadTimeout().newCall(request(call, progress));
    call.handle().onCancel(httpCall::cancel);
    try {
      return new RoutedResponse(httpCall.execute(), progress);
    } catch (IOException e) {
      throw progress.failure(e);
    }
  }

  private static Request request(RoutedCall call, AttemptProgress progress) {
    Headers.Builder headers = new Headers.Builder();
    for (HeaderField field : call.headers()) {
      headers.addUnsafeNonAscii(field.name(), field.value());
    }
    // Otherwise OkHttp sets its own values, and decompresses a response that it requested as gzip.
    if (headers.get("Accept-Encoding") == null) {
      headers.set("Accept-Encoding", "identity");
    }
    if (headers.get("User-Agent") == null) {
      headers.set("User-Agent", "teaseltrestle");
    }
    headers.set("Connection", "close");
    return new Request.Builder()
        .url(BackendAddress.urlWithExactTarget(call.address(), call.target()))
        .headers(headers.build())
        .tag(AttemptProgress.class, progress)
        .method(call.method(), body(call))
        .build();
  }

  private static @Nullable RequestBody body(RoutedCall call) {
    boolean hasNoBody =
        switch (call.method().toUpperCase(Locale.ROOT)) {
          case "GET", "HEAD" -> true;
          case "POST", "PUT", "PATCH", "PROPPATCH", "REPORT" -> false;
          default -> call.body().length == 0;
        };
    return hasNoBody ? null : new OneShotBody(call.body());
  }

  /**
   * Response whose body ends by its length, its last chunk, or the regular close of the connection.
   */
  private static final class RoutedResponse implements ServiceResponse {

    private final Response response;
    private final AttemptProgress progress;

    RoutedResponse(Response response, AttemptProgress progress) {
      this.response = response;
      this.progress = progress;
    }

    @Override
    public int status() {
      return response.code();
    }

    @Override
    public List<HeaderField> headers() {
      List<HeaderField> fields = new ArrayList<>();
      response
          .headers()
          .forEach(
              field -> {
                boolean hidden = field.getFirst().equals(BackendHttp.HIDDEN_RETRY_AFTER);
                fields.add(
                    new HeaderField(hidden ? "Retry-After" : field.getFirst(), field.getSecond()));
              });
      return fields;
    }

    @Override
    public ResponseFraming framing() {
      return ResponseFramings.of(response);
    }

    @Override
    public int read(byte[] buffer) {
      ResponseBody body = response.body();
      if (body == null) {
        return -1;
      }
      try {
        int count = body.source().read(buffer);
        progress.bodyDelivered();
        return count;
      } catch (IOException e) {
        AttemptFailure failure = progress.failure(e);
        throw failure.kind() == FailureKind.LOST_BEFORE_ANSWER
            ? new AttemptFailure(FailureKind.LOST_DURING_ANSWER, "response was truncated")
            : failure;
      }
    }

    @Override
    public void close() {
      response.close();
    }
  }
}
