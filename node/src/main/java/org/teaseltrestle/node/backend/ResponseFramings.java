package org.teaseltrestle.node.backend;

import okhttp3.Response;
import org.teaseltrestle.node.port.ResponseFraming;

/** Determines what marks the end of a response's body. */
final class ResponseFramings {

  private static final int NO_CONTENT = 204;
  private static final int NOT_MODIFIED = 304;

  private ResponseFramings() {}

  static ResponseFraming of(Response response) {
    if (response.request().method().equals("HEAD")
        || response.code() == NO_CONTENT
        || response.code() == NOT_MODIFIED) {
      return ResponseFraming.NO_BODY;
    }
    if ("chunked".equalsIgnoreCase(response.header("Transfer-Encoding"))) {
      return ResponseFraming.CHUNKS;
    }
    return response.header("Content-Length") != null
        ? ResponseFraming.LENGTH
        : ResponseFraming.CONNECTION;
  }
}
