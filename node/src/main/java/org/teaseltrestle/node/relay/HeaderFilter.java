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
import org.teaseltrestle.node.port.HttpSyntax;

/** Selects the header fields that are forwarded between callers and backend servers. */
final class HeaderFilter {

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
   * Fields that are not forwarded because the relay sets them or because they would mislead it: a
   * method override would let a call count as idempotent but run as another method.
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

  private HeaderFilter() {}

  /** Returns the caller's fields that a plain service may receive. */
  static List<HeaderField> forwardedToService(HeaderMap headers, CallerCredentials credentials) {
    Set<String> connectionOptions = parseConnectionOptions(headers.get("Connection"));
    List<HeaderField> forwarded = new ArrayList<>();
    for (HeaderValues values : headers) {
      String name = values.getHeaderName().toString();
      if (isDropped(name, connectionOptions) || CallerCredentials.isKeyHeader(name)) {
        continue;
      }
      for (String value : values) {
        if (!credentials.appearsIn(name) && !credentials.appearsIn(value)) {
          forwarded.add(new HeaderField(name, value));
        }
      }
    }
    return forwarded;
  }

  /** Returns the caller's end-to-end fields. */
  static List<HeaderField> endToEnd(HeaderMap headers) {
    Set<String> connectionOptions = parseConnectionOptions(headers.get("Connection"));
    List<HeaderField> forwarded = new ArrayList<>();
    for (HeaderValues values : headers) {
      String name = values.getHeaderName().toString();
      String lower = name.toLowerCase(Locale.ROOT);
      if (!HOP_BY_HOP.contains(lower)
          && !connectionOptions.contains(lower)
          && !lower.equals("content-length")) {
        values.forEach(value -> forwarded.add(new HeaderField(name, value)));
      }
    }
    return forwarded;
  }

  /**
   * Returns the backend server's fields that the caller may receive. The fields' names are tokens,
   * as a response with another one counts for nothing; a field whose value the protocol does not
   * allow is dropped.
   */
  static List<HeaderField> forwardedToCaller(List<HeaderField> headers) {
    Set<String> connectionOptions = new HashSet<>();
    for (HeaderField field : headers) {
      if (field.name().equalsIgnoreCase("Connection")) {
        addLowerCaseNames(connectionOptions, field.value());
      }
    }
    return headers.stream()
        .filter(field -> HttpSyntax.isFieldValue(field.value()))
        .filter(field -> !isDropped(field.name(), connectionOptions))
        .toList();
  }

  private static boolean isDropped(String name, Set<String> connectionOptions) {
    String lower = name.toLowerCase(Locale.ROOT);
    return HOP_BY_HOP.contains(lower)
        || RESERVED.contains(lower)
        || connectionOptions.contains(lower)
        || RESERVED_PREFIXES.stream().anyMatch(lower::startsWith);
  }

  private static Set<String> parseConnectionOptions(@Nullable Iterable<String> values) {
    Set<String> names = new HashSet<>();
    if (values != null) {
      values.forEach(value -> addLowerCaseNames(names, value));
    }
    return names;
  }

  private static void addLowerCaseNames(Set<String> names, String value) {
    for (String name : value.split(",", -1)) {
      names.add(name.strip().toLowerCase(Locale.ROOT));
    }
  }
}
