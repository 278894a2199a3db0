package org.teaseltrestle.node.relay;

import java.util.List;
import org.teaseltrestle.node.port.HeaderField;

/**
 * Complete response of a backend server, buffered before it is sent to the caller.
 *
 * @param status HTTP status
 * @param headers header fields that the caller may receive
 * @param body body
 */
record BufferedResponse(int status, List<HeaderField> headers, byte[] body) {

  /** Returns the content type, empty if there is none. */
  String contentType() {
    return headers.stream()
        .filter(field -> field.name().equalsIgnoreCase("Content-Type"))
        .map(HeaderField::value)
        .findFirst()
        .orElse("");
  }
}
