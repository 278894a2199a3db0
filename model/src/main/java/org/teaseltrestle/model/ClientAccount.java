package org.teaseltrestle.model;

/**
 * Identifies a client account, which owns keys and is billed.
 *
 * @param value identifier text, 1 to {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record ClientAccount(String value) implements Comparable<ClientAccount> {

  /**
   * Checks the identifier.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  public ClientAccount {
    Identifiers.check(value);
  }

  @Override
  public int compareTo(ClientAccount other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
