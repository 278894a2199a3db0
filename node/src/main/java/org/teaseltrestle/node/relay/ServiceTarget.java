package org.teaseltrestle.node.relay;

import java.util.Locale;
import org.teaseltrestle.model.Identifiers;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.RefusalCode;

/**
 * Service and path of a call, parsed from the request path.
 *
 * @param service name of the service
 * @param rawPath path after the service name as received, starting with a slash
 * @param path the same path decoded; routes are matched by it
 */
record ServiceTarget(ItemName service, String rawPath, String path) {

  /** Replaces invalid UTF-8 in decoded text. */
  private static final int REPLACEMENT_CHARACTER = 0xFFFD;

  static final String PREFIX = "/services/";

  /**
   * Parses a path. Paths that a service could interpret as a route other than the one matched here
   * are refused, because open and non-idempotent routes are recognized by their path.
   *
   * @throws RefusalException if the path is malformed
   */
  static ServiceTarget parse(String requestPath) {
    String rest = requestPath.substring(PREFIX.length());
    int slash = rest.indexOf('/');
    String name = slash < 0 ? rest : rest.substring(0, slash);
    String rawPath = slash < 0 ? "/" : rest.substring(slash);
    if (!Identifiers.isValid(name)) {
      throw new RefusalException(RefusalCode.UNKNOWN_SERVICE, "no such service");
    }
    checkRaw(rawPath);
    String path = CallerCredentials.decode(rawPath.replace("+", "%2B"));
    checkDecoded(path);
    return new ServiceTarget(new ItemName(name), rawPath, path);
  }

  private static void checkRaw(String rawPath) {
    String lower = rawPath.toLowerCase(Locale.ROOT);
    if (lower.contains("%2f") || lower.contains("%5c") || lower.contains("%00")) {
      throw ambiguous();
    }
  }

  private static void checkDecoded(String path) {
    boolean ambiguous =
        path.contains("//")
            || path.contains("\\")
            || path.contains(";")
            || path.contains("%")
            || path.indexOf(REPLACEMENT_CHARACTER) >= 0
            || path.chars().anyMatch(Character::isISOControl);
    for (String segment : path.split("/", -1)) {
      ambiguous |= segment.equals(".") || segment.equals("..");
    }
    if (ambiguous) {
      throw ambiguous();
    }
  }

  private static RefusalException ambiguous() {
    return new RefusalException(RefusalCode.MALFORMED_REQUEST, "the request path is ambiguous");
  }
}
