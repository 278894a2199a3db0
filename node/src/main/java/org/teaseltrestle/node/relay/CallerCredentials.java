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
 * A caller's key, taken from every place where one may stand, and the query without it.
 *
 * <p>Holds the key's text: neither logged nor passed on.
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
   * Takes the credentials out of a request.
   *
   * @param rawQuery query as received, without the question mark
   * @throws RefusalException if two keys contradict each other, or a credential is of another kind
   */
  static CallerCredentials take(HeaderMap headers, String rawQuery) {
    Set<String> keys = new LinkedHashSet<>();
    for (HeaderValues values : headers) {
      if (isKeyHeader(values.getHeaderName().toString())) {
        for (String value : values) {
          keys.add(keyOf(values.getHeaderName().toString(), value));
        }
      }
    }
    List<String> kept = new ArrayList<>();
    for (String parameter : rawQuery.isEmpty() ? new String[0] : rawQuery.split("&", -1)) {
      String[] pair = parameter.split("=", 2);
      if (KEY_PARAMETERS.contains(decode(pair[0]).toLowerCase(Locale.ROOT))) {
        keys.add(pair.length == 2 ? decode(pair[1]).strip() : "");
      } else {
        kept.add(parameter);
      }
    }
    if (keys.size() > 1) {
      throw new RefusalException(RefusalCode.KEY_MALFORMED, "the request bears different keys");
    }
    String key = keys.isEmpty() ? null : keys.iterator().next();
    kept.removeIf(parameter -> contains(decode(parameter), key));
    return new CallerCredentials(key, String.join("&", kept));
  }

  /** Tells whether a header is one that carries keys and is never passed on. */
  static boolean isKeyHeader(String name) {
    return KEY_HEADERS.contains(name.toLowerCase(Locale.ROOT));
  }

  /** Returns the key's text, or null if the request bears none. */
  @Nullable String keyText() {
    return keyText;
  }

  /** Returns the query without the key, empty if nothing is left. */
  String query() {
    return query;
  }

  /** Tells whether a text repeats the key, so that it must not be passed on. */
  boolean isRepeatedIn(String text) {
    return contains(text, keyText);
  }

  /** Tells whether a body repeats the key, so that it must not be passed on. */
  boolean isRepeatedIn(byte[] body) {
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
          RefusalCode.KEY_MALFORMED, "the Authorization header must be of the Bearer scheme");
    }
    return text.substring(BEARER.length()).strip();
  }

  static String decode(String text) {
    try {
      return URLDecoder.decode(text, StandardCharsets.UTF_8);
    } catch (IllegalArgumentException e) {
      throw new RefusalException(
          RefusalCode.MALFORMED_REQUEST, "the request's target has a broken escape");
    }
  }
}
