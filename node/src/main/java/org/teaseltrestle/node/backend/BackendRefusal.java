package org.teaseltrestle.node.backend;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import okhttp3.Response;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.policy.FailureKind;

/** Recognizes responses by which a backend server reports that it did not run the request. */
final class BackendRefusal {

  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int TOO_MANY_REQUESTS = 429;
  private static final long MAXIMUM_ERROR_BODY_BYTES = 64 * 1024;
  private static final ObjectMapper JSON = new ObjectMapper();

  private BackendRefusal() {}

  /**
   * Returns the kind of refusal, or null if the response does not report that nothing was run.
   *
   * @throws IOException if the connection fails while the response is read
   */
  static @Nullable FailureKind of(Response response) throws IOException {
    if (response.code() == TOO_MANY_REQUESTS) {
      return FailureKind.REFUSED_BUSY;
    }
    if (response.code() != SERVICE_UNAVAILABLE) {
      return null;
    }
    return switch (errorCode(response.peekBody(MAXIMUM_ERROR_BODY_BYTES).bytes())) {
      case "leaving" -> FailureKind.REFUSED_LEAVING;
      case "busy", "overloaded" -> FailureKind.REFUSED_BUSY;
      default -> null;
    };
  }

  private static String errorCode(byte[] body) throws IOException {
    try {
      return JSON.readTree(body).path("error").path("code").asText();
    } catch (JsonProcessingException e) {
      return "";
    }
  }
}
