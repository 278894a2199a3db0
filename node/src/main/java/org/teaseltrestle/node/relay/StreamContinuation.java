package org.teaseltrestle.node.relay;

import java.util.Locale;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.ServiceResponse;
import org.teaseltrestle.policy.FailureKind;

/** Decides whether a backend server's response continues a stream that has already started. */
final class StreamContinuation {

  private static final int OK = 200;
  private static final int FIRST_SERVER_ERROR = 500;

  private StreamContinuation() {}

  /**
   * Checks that a response has the status and media type of the started stream.
   *
   * @throws AttemptFailure if it does not continue the stream
   */
  static void check(ServiceResponse response, @Nullable String startedType) {
    int status = response.status();
    String type = mediaType(ResponseVerdicts.lookup(response.headers()).apply("Content-Type"));
    if (status != OK || !type.equals(mediaType(startedType))) {
      throw new AttemptFailure(
          status >= FIRST_SERVER_ERROR ? FailureKind.SERVER_ERROR : FailureKind.ANSWER_MISMATCH,
          "response with status " + status + " and type " + type + " does not continue a stream",
          status);
    }
  }

  private static String mediaType(@Nullable String contentType) {
    return contentType == null ? "" : contentType.split(";", 2)[0].strip().toLowerCase(Locale.ROOT);
  }
}
