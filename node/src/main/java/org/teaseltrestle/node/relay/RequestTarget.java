package org.teaseltrestle.node.relay;

/** Checks the target of a request, path and query, against RFC 3986. */
final class RequestTarget {

  private static final String UNRESERVED_MARKS = "-._~";
  private static final String SUB_DELIMITERS = "!$&'()*+,;=";
  private static final String PATH_DELIMITERS = ":@/";
  private static final int ESCAPE_LENGTH = 3;

  private RequestTarget() {}

  /** Returns whether a target is an absolute path, with or without a query. */
  static boolean isValid(String target) {
    if (!target.startsWith("/")) {
      return false;
    }
    int position = 0;
    while (position < target.length()) {
      char character = target.charAt(position);
      boolean escape = character == '%';
      if (escape ? !isEscape(target, position) : !isAllowed(character)) {
        return false;
      }
      position += escape ? ESCAPE_LENGTH : 1;
    }
    return true;
  }

  private static boolean isEscape(String target, int position) {
    return position + ESCAPE_LENGTH <= target.length()
        && isHexadecimal(target.charAt(position + 1))
        && isHexadecimal(target.charAt(position + 2));
  }

  private static boolean isHexadecimal(char character) {
    return character < 0x80 && Character.digit(character, 16) >= 0;
  }

  private static boolean isAllowed(char character) {
    return (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9')
        || UNRESERVED_MARKS.indexOf(character) >= 0
        || SUB_DELIMITERS.indexOf(character) >= 0
        || PATH_DELIMITERS.indexOf(character) >= 0
        || character == '?';
  }
}
