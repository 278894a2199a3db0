package org.teaseltrestle.model;

/** Syntax shared by all identifiers. */
public final class Identifiers {

  /** Longest identifier, in characters. */
  public static final int MAXIMUM_LENGTH = 128;

  private Identifiers() {}

  /**
   * Returns whether a text is a valid identifier: 1 to {@value #MAXIMUM_LENGTH} ASCII letters,
   * digits, {@code -}, {@code _}, {@code .}, {@code :} and {@code /}.
   */
  public static boolean isValid(String value) {
    if (value.isEmpty() || value.length() > MAXIMUM_LENGTH) {
      return false;
    }
    return value.chars().allMatch(Identifiers::isAllowed);
  }

  /**
   * Returns the text if it is a valid identifier.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_IDENTIFIER} otherwise
   */
  public static String check(String value) {
    if (!isValid(value)) {
      throw new TrestleException(
          ErrorCode.INVALID_IDENTIFIER, "not a valid identifier: " + abbreviated(value));
    }
    return value;
  }

  /** Returns a text of unknown origin as it may appear in a log line. */
  public static String forLog(String value) {
    return isValid(value) ? value : "(not an identifier, " + value.length() + " characters)";
  }

  private static String abbreviated(String value) {
    return value.length() <= MAXIMUM_LENGTH ? value : value.substring(0, MAXIMUM_LENGTH) + "...";
  }

  private static boolean isAllowed(int character) {
    return (character >= 'a' && character <= 'z')
        || (character >= 'A' && character <= 'Z')
        || (character >= '0' && character <= '9')
        || "-_.:/".indexOf(character) >= 0;
  }
}
