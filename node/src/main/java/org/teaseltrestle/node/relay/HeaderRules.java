package org.teaseltrestle.node.relay;

import io.undertow.util.HeaderMap;
import io.undertow.util.HeaderValues;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.node.port.HeaderField;

/** Which header fields pass between a caller and a plain service. */
final class HeaderRules {

  private static final Set<String> HOP_BY_HOP =
      Set.of(
          "connection",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "proxy-connection",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade",
          "http2-settings",
          "expect");

  /**
   * Fields that belong to the system. A method override would let a call pass as idempotent and run
   * as another method.
   */
  private static final Set<String> RESERVED =
      Set.of(
          "x-request-id",
          "forwarded",
          "x-http-method-override",
          "x-http-method",
          "x-method-override",
          "host",
          "content-length");

  private static final Set<String> RESERVED_PREFIXES = Set.of("x-trestle-", "x-forwarded-");

  private HeaderRules() {}

  /** Returns the caller's fields that a backend server may see. */
  static List<HeaderField> towardsService(HeaderMap headers, CallerCredentials credentials) {
    Set<String> named = namedByConnection(headers.get("Connection"));
    List<HeaderField> kept = new ArrayList<>();
    for (HeaderValues values : headers) {
      String name = values.getHeaderName().toString();
      if (isDropped(name, named) || CallerCredentials.isKeyHeader(name)) {
        continue;
      }
      for (String value : values) {
        if (!credentials.isRepeatedIn(name) && !credentials.isRepeatedIn(value)) {
          kept.add(new HeaderField(name, value));
        }
      }
    }
    return kept;
  }

  /** Returns the caller's fields that do not concern only its connection. */
  static List<HeaderField> endToEnd(HeaderMap headers) {
    Set<String> named = namedByConnection(headers.get("Connection"));
    List<HeaderField> kept = new ArrayList<>();
    for (HeaderValues values : headers) {
      String name = values.getHeaderName().toString();
      String lower = name.toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(lower)
          && !named.contains(lower)
          && !lower.equals("content-length")) {
        values.forEach(value -> kept.add(new HeaderField(name, value)));
      }
    }
    return kept;
  }

  /** Returns the service's fields that the caller may see. */
  static List<HeaderField> towardsCaller(List<HeaderField> headers) {
    Set<String> named = new HashSet<>();
    for (HeaderField field : headers) {
      if (field.name().equalsIgnoreCase("Connection")) {
        addNames(named, field.value());
      }
    }
    return headers.stream().filter(field -> !isDropped(field.name(), named)).toList();
  }

  private static boolean isDropped(String name, Set<String> named) {
    String lower = name.toLowerCase(Locale.ROOT);
    return HOP_BY_HOP.contains(lower)
        || RESERVED.contains(lower)
        || named.contains(lower)
        || RESERVED_PREFIXES.stream().anyMatch(lower::startsWith);
  }

  private static Set<String> namedByConnection(@Nullable Iterable<String> values) {
    Set<String> names = new HashSet<>();
    if (values != null) {
      values.forEach(value -> addNames(names, value));
    }
    return names;
  }

  private static void addNames(Set<String> names, String value) {
    for (String name : value.split(",", -1)) {
      names.add(name.strip().toLowerCase(Locale.ROOT));
    }
  }
}
