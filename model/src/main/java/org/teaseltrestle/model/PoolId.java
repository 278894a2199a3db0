package org.teaseltrestle.model;

/**
 * Identifies a pool of interchangeable backend servers.
 *
 * @param value identifier text, 1 to {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record PoolId(String value) implements Comparable<PoolId> {

  /**
   * Checks the identifier.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  public PoolId {
    Identifiers.check(value);
  }

  @Override
  public int compareTo(PoolId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
