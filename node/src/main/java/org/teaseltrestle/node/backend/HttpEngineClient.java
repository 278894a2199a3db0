package org.teaseltrestle.node.backend;

import java.io.IOException;
import okhttp3.Call;
import okhttp3.Request;
import okhttp3.Response;
import okhttp3.ResponseBody;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.RequestId;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.CacheEvents;
import org.teaseltrestle.node.port.CacheListing;
import org.teaseltrestle.node.port.EngineCall;
import org.teaseltrestle.node.port.EngineClient;
import org.teaseltrestle.node.port.EngineLoad;
import org.teaseltrestle.node.port.EngineStream;
import org.teaseltrestle.node.port.ResponseIdentity;
import org.teaseltrestle.policy.FailureKind;

/** Calls engines over HTTP. */
public final class HttpEngineClient implements EngineClient {

  private final BackendHttp http;
  private final StatusReader statusReader;

  /** Creates a client that sends its requests with the given HTTP clients. */
  public HttpEngineClient(BackendHttp http) {
    this.http = http;
    this.statusReader = new StatusReader(http);
  }

  @Override
  public EngineStream open(EngineCall call) {
    AttemptProgress progress = new AttemptProgress(call.handle(), call.answerTimeout());
    Request request =
        new Request.Builder()
            .url(BackendAddress.url(call.address(), call.path()))
            .header("Content-Type", "application/json")
            .header("Accept", "text/event-stream")
            .header("Accept-Encoding", "identity")
            .header("User-Agent", "teaseltrestle")
            .header(ResponseIdentities.REQUEST_ID, call.request().value())
            .header("X-Trestle-Attempt", Integer.toString(call.attempt()))
            .header("X-Trestle-Priority", Integer.toString(call.priority()))
            .tag(AttemptProgress.class, progress)
            .post(new OneShotBody(call.body()))
            .build();
    Call httpCall = http.fresh(call.answerTimeout()).newCall(request);
    call.handle().onCancel(httpCall::cancel);
    try {
      return openStream(httpCall.execute(), progress);
    } catch (IOException e) {
      throw progress.failure(e);
    }
  }

  @Override
  public void cancel(String address, RequestId request) {
    Request cancel =
        new Request.Builder()
            .url(BackendAddress.url(address, "/v1/cancel/" + request.value()))
            .header(ResponseIdentities.REQUEST_ID, request.value())
            .post(new OneShotBody(new byte[0]))
            .build();
    try {
      http.shortCalls().newCall(cancel).execute().close();
    } catch (IOException e) {
      // The engine also detects the closed connection; this call only makes it stop sooner.
      return;
    }
  }

  @Override
  public EngineLoad load(String address) {
    return statusReader.engineLoad(address);
  }

  @Override
  public CacheEvents cacheEvents(String address, long after) {
    return statusReader.cacheEvents(address, after);
  }

  @Override
  public CacheListing cachePrefixes(String address) {
    return statusReader.cachePrefixes(address);
  }

  private static EngineStream openStream(Response response, AttemptProgress progress)
      throws IOException {
    @Nullable AttemptFailure failure;
    try {
      failure = failureOf(response);
    } catch (IOException | AttemptFailure e) {
      response.close();
      throw e;
    }
    ResponseBody body = response.body();
    if (failure != null || body == null) {
      response.close();
      throw failure != null
          ? failure
          : new AttemptFailure(FailureKind.SERVER_ERROR, "engine responded without a body");
    }
    return new EventStreamReader(response, body, progress);
  }

  private static @Nullable AttemptFailure failureOf(Response response) throws IOException {
    ResponseIdentity identity = ResponseIdentities.check(response);
    if (response.code() != 200) {
      FailureKind refusal = BackendRefusal.of(response);
      return new AttemptFailure(
          refusal == null ? FailureKind.SERVER_ERROR : refusal,
          "engine responded with status " + response.code(),
          response.code());
    }
    if (identity == ResponseIdentity.MISSING) {
      return new AttemptFailure(
          FailureKind.ANSWER_MISMATCH, "response has no request identifier", response.code());
    }
    return null;
  }
}
