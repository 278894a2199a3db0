package org.teaseltrestle.model.lists;

import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;

/**
 * A method and a path, such as {@code GET /opening-hours}. The method {@code *} matches every
 * method; {@code *} at the end of the path matches any suffix.
 *
 * @param method HTTP method in upper case, or {@code *}
 * @param path path with a leading slash, or {@code *}
 */
public record RoutePattern(String method, String path) {

  /**
   * Parses a pattern.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_LIST} if the text is malformed
   */
  public static RoutePattern parse(String text) {
    String[] parts = text.split(" ", -1);
    if (parts.length != 2
        || !parts[0].matches("\\*|[A-Z]+")
        || !(parts[1].equals("*") || parts[1].startsWith("/"))) {
      throw new TrestleException(
          ErrorCode.INVALID_LIST, "not a route such as \"GET /opening-hours\": " + text);
    }
    return new RoutePattern(parts[0], parts[1]);
  }

  /** Returns whether a request matches. */
  public boolean matches(String requestMethod, String requestPath) {
    if (!method.equals("*") && !method.equals(requestMethod)) {
      return false;
    }
    if (path.endsWith("*")) {
      return requestPath.startsWith(path.substring(0, path.length() - 1));
    }
    return path.equals(requestPath);
  }

  @Override
  public String toString() {
    return method + " " + path;
  }
}
