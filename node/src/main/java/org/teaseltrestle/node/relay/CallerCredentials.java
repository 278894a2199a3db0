package org.teaseltrestle.node.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.RefusalCode;

/**
 * A caller's key, extracted from any header or query parameter that may carry one, and the query
 * without it.
 *
 * <p>Contains the text of the key, which is neither logged nor forwarded.
 */
final class CallerCredentials {

  private static final Set<String> KEY_HEADERS = Set.of("authorization", "x-api-key", "api-key");
  private static final Set<String> KEY_PARAMETERS = Set.of("key", "api_key", "access_token");
  private static final String BEARER = "bearer ";

  private final @Nullable String keyText;
  private final String query;

  private CallerCredentials(@Nullable String keyText, String query) {
    this.keyText = keyText;
    this.query = query;
  }

  /**
   * Extracts the credentials of a request.
   *
   * @param rawQuery query as received, without the question mark
   * @throws RefusalException if the request has different keys or a credential of another scheme
   */
  static CallerCredentials extract(HeaderMap headers, String rawQuery) {
    Set<String> keys = new LinkedHashSet<>();
    for (HeaderValues values : headers) {
      if (isKeyHeader(values.getHeaderName().toString())) {
        for (String value : values) {
          keys.add(keyOf(values.getHeaderName().toString(), value));
        }
      }
    }
    List<String> remaining = new ArrayList<>();
    for (String parameter : rawQuery.isEmpty() ? new String[0] : rawQuery.split("&", -1)) {
      String[] pair = parameter.split("=", 2);
      if (KEY_PARAMETERS.contains(decode(pair[0]).toLowerCase(Locale.ROOT))) {
        keys.add(pair.length == 2 ? decode(pair[1]).strip() : "");
      } else {
        remaining.add(parameter);
      }
    }
    if (keys.size() > 1) {
      throw new RefusalException(RefusalCode.KEY_MALFORMED, "the request has different keys");
    }
    String key = keys.isEmpty() ? null : keys.iterator().next();
    remaining.removeIf(parameter -> contains(decode(parameter), key));
    return new CallerCredentials(key, String.join("&", remaining));
  }

  /** Returns whether a header carries keys and is therefore never forwarded. */
  static boolean isKeyHeader(String name) {
    return KEY_HEADERS.contains(name.toLowerCase(Locale.ROOT));
  }

  /** Returns the text of the key, or null if the request has none. */
  @Nullable String keyText() {
    return keyText;
  }

  /** Returns the query without the key, possibly empty. */
  String query() {
    return query;
  }

  /** Returns whether a text contains the key, so that it must not be forwarded. */
  boolean appearsIn(String text) {
    return contains(text, keyText);
  }

  /** Returns whether a body contains the key, so that it must not be forwarded. */
  boolean appearsIn(byte[] body) {
    return keyText != null
        && !keyText.isEmpty()
        && body.length >= keyText.length()
        && contains(new String(body, StandardCharsets.ISO_8859_1), keyText);
  }

  @Override
  public String toString() {
    return keyText == null ? "no key" : "key present";
  }

  private static boolean contains(String text, @Nullable String key) {
    return key != null && !key.isEmpty() && text.contains(key);
  }

  private static String keyOf(String header, String value) {
    String text = value.strip();
    if (!header.equalsIgnoreCase("Authorization")) {
      return text;
    }
    if (!text.toLowerCase(Locale.ROOT).startsWith(BEARER)) {
      throw new RefusalException(
          RefusalCode.KEY_MALFORMED, "the Authorization header must use the Bearer scheme");
    }
    return text.substring(BEARER.length()).strip();
  }

  static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw new RefusalException(
          RefusalCode.MALFORMED_REQUEST, "the request target has an invalid percent-encoding");
    }
  }
}
