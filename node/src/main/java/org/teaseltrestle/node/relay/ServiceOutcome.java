package org.teaseltrestle.node.relay;

import java.util.List;
import org.teaseltrestle.node.port.HeaderField;

/**
 * Answer of a plain service that was received and checked as a whole.
 *
 * @param status HTTP status
 * @param headers header fields that the caller may see
 * @param body body
 */
record ServiceOutcome(int status, List<HeaderField> headers, byte[] body) {

  /** Returns the content type, empty if there is none. */
  String contentType() {
    return headers.stream()
        .filter(field -> field.name().equalsIgnoreCase("Content-Type"))
        .map(HeaderField::value)
        .findFirst()
        .orElse("");
  }
}
