package org.teaseltrestle.node.backend;

import java.io.IOException;
import java.util.Locale;
import okhttp3.Call;
import okhttp3.Headers;
import okhttp3.Request;
import okhttp3.RequestBody;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.HeaderField;
import org.teaseltrestle.node.port.ServiceCall;
import org.teaseltrestle.node.port.ServiceClient;
import org.teaseltrestle.node.port.ServiceLoad;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.FailureKind;

/** Calls replicas of plain services over HTTP. */
public final class HttpServiceClient implements ServiceClient {

  private final BackendHttp http;
  private final StatusReader statusReader;

  /** Creates a client that sends its requests with the given HTTP clients. */
  public HttpServiceClient(BackendHttp http) {
    this.http = http;
    this.statusReader = new StatusReader(http);
  }

  @Override
  public ServiceResponse call(ServiceCall call) {
    AttemptProgress progress = new AttemptProgress(call.handle(), call.timeout());
    Request request = request(call, progress);
    Call httpCall = http.fresh(call.timeout()).newCall(request);
    call.handle().onCancel(httpCall::cancel);
    try {
      return checkedResponse(call, httpCall.execute(), progress);
    } catch (IOException e) {
      throw progress.failure(e);
    }
  }

  @Override
  public ServiceLoad load(String address) {
    return statusReader.serviceLoad(address);
  }

  private static Request request(ServiceCall call, AttemptProgress progress) {
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
    return new Request.Builder()
        .url(BackendAddress.url(call.address(), call.target()))
        .headers(headers.build())
        .tag(AttemptProgress.class, progress)
        .method(call.method(), body(call))
        .build();
  }

  private static @Nullable RequestBody body(ServiceCall call) {
    boolean hasNoBody =
        switch (call.method().toUpperCase(Locale.ROOT)) {
          case "GET", "HEAD" -> true;
          case "POST", "PUT", "PATCH", "PROPPATCH", "REPORT" -> false;
          default -> call.body().length == 0;
        };
    return hasNoBody ? null : new OneShotBody(call.body());
  }

  private static ServiceResponse checkedResponse(
      ServiceCall call, Response response, AttemptProgress progress) throws IOException {
    AttemptFailure failure;
    try {
      failure = failureOf(response);
    } catch (IOException | AttemptFailure e) {
      response.close();
      throw e;
    }
    if (failure != null) {
      response.close();
      throw failure;
    }
    return new HttpServiceResponse(response, progress, call.timeout());
  }

  private static @Nullable AttemptFailure failureOf(Response response) throws IOException {
    ResponseIdentities.check(response);
    // Only this refusal reports that nothing was run; any other status is passed to the caller.
    return BackendRefusal.of(response) == FailureKind.REFUSED_LEAVING
        ? new AttemptFailure(
            FailureKind.REFUSED_LEAVING, "service refused to run the request", response.code())
        : null;
  }
}
