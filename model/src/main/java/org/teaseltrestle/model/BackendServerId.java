package org.teaseltrestle.model;

/**
 * Identifies one backend server: a model engine or a replica of a plain HTTP service.
 *
 * @param value identifier text, 1 to {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record BackendServerId(String value) implements Comparable<BackendServerId> {

  /**
   * Checks the identifier.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  public BackendServerId {
    Identifiers.check(value);
  }

  @Override
  public int compareTo(BackendServerId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
