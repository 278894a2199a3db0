package org.teaseltrestle.node.relay;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.NotRun;
import org.teaseltrestle.model.RefusalCode;
import org.teaseltrestle.model.RequestId;

/** Represents refusals in HTTP: their JSON bodies and retry delays. */
final class RefusalResponse {

  private static final ObjectMapper JSON = new ObjectMapper();
  private static final Duration DEFAULT_RETRY_AFTER = Duration.ofSeconds(1);

  private RefusalResponse() {}

  /** Returns the JSON body. */
  static byte[] body(RefusalException refusal, RequestId request) {
    return text(refusal, request).getBytes(StandardCharsets.UTF_8);
  }

  /** Returns the JSON body as text. */
  static String text(RefusalException refusal, RequestId request) {
    ObjectNode root = JSON.createObjectNode();
    ObjectNode error = root.putObject("error");
    error.put("message", refusal.getMessage());
    error.put("type", type(refusal.refusalCode()));
    error.put("code", refusal.refusalCode().wireName());
    switch (refusal.notRun()) {
      case CERTAIN -> error.put("not_run", true);
      case RUN -> error.put("not_run", false);
      default -> error.put("not_run", "unknown");
    }
    error.put("request_id", request.value());
    return root.toString();
  }

  /** Returns the value of {@code Retry-After} in seconds, or null if waiting does not help. */
  static @Nullable String retryAfter(RefusalException refusal) {
    Duration delay = retryDelay(refusal);
    return delay == null ? null : Long.toString(Math.max(1, (delay.toMillis() + 999) / 1000));
  }

  /** Returns the delay after which a caller may retry, or null if waiting does not help. */
  static @Nullable Duration retryDelay(RefusalException refusal) {
    Duration delay = refusal.retryAfter();
    if (delay == null) {
      delay = isRetryable(refusal.refusalCode(), refusal.notRun()) ? DEFAULT_RETRY_AFTER : null;
    }
    return delay;
  }

  private static boolean isRetryable(RefusalCode code, NotRun notRun) {
    return notRun == NotRun.CERTAIN && (code.httpStatus() == 503 || code.httpStatus() == 429);
  }

  private static String type(RefusalCode code) {
    return switch (code.httpStatus()) {
      case 401 -> "authentication_error";
      case 403 -> "permission_error";
      case 404, 405 -> "not_found_error";
      case 429 -> "rate_limit_error";
      case 503 -> "overloaded_error";
      case 500, 502, 504 -> "backend_error";
      default -> "invalid_request_error";
    };
  }
}
