package org.teaseltrestle.node.port;

/** Syntax of HTTP that every reader of responses requires, RFC 9110. */
public final class HttpSyntax {

  private static final String TOKEN_MARKS = "!#$%&'*+-.^_`|~";

  private static final int FIRST_FINAL_STATUS = 200;
  private static final int LAST_STATUS = 599;

  private HttpSyntax() {}

  /** Returns whether a number is the status of a final response. */
  public static boolean isFinalStatus(int status) {
    return status >= FIRST_FINAL_STATUS && status <= LAST_STATUS;
  }

  /** Returns whether a text is a token, as the name of a field must be. */
  public static boolean isFieldName(CharSequence text) {
    return !text.isEmpty() && text.chars().allMatch(HttpSyntax::isTokenCharacter);
  }

  /** Returns whether the value of a field may hold a text, whose bytes are read as ISO 8859-1. */
  public static boolean isFieldValue(CharSequence text) {
    return text.chars().allMatch(HttpSyntax::isValueCharacter);
  }

  /** Returns whether a token may hold a character. */
  public static boolean isTokenCharacter(int character) {
    return (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9')
        || TOKEN_MARKS.indexOf(character) >= 0;
  }

  private static boolean isValueCharacter(int character) {
    return character == '\t' || (character >= ' ' && character <= 0xff && character != 0x7f);
  }
}
