package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderValues;
import org.teaseltrestle.model.RefusalCode;

/** Limit on the size of a request's target and header fields. */
final class HeaderLimit {

  private HeaderLimit() {}

  /**
   * Checks the size.
   *
   * @throws RefusalException if the target, names and values are larger than the limit
   */
  static void check(HttpServerExchange exchange, int maximumBytes) {
    int bytes = exchange.getQueryString().length() + exchange.getRequestURI().length();
    for (HeaderValues values : exchange.getRequestHeaders()) {
      for (String value : values) {
        bytes += values.getHeaderName().length() + value.length();
      }
    }
    if (bytes > maximumBytes) {
      exchange.setPersistent(false);
      throw new RefusalException(
          RefusalCode.HEADERS_TOO_LARGE,
          "the request target and headers are larger than " + maximumBytes + " bytes");
    }
  }
}
