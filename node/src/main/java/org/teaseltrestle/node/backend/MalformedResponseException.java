package org.teaseltrestle.node.backend;

import java.net.ProtocolException;

/**
 * Thrown for a response that violates HTTP/1.1, so that nothing in it counts: neither its status,
 * nor a field, nor where its body ends.
 */
final class MalformedResponseException extends ProtocolException {

  private static final long serialVersionUID = 1L;

  MalformedResponseException(String message) {
    super(message);
  }
}
