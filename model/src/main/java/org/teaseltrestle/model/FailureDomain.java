package org.teaseltrestle.model;

/**
 * Identifies a failure domain: a set of instances and backend servers that fail together.
 *
 * @param value identifier text, 1 to {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record FailureDomain(String value) implements Comparable<FailureDomain> {

  /**
   * Checks the identifier.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  public FailureDomain {
    Identifiers.check(value);
  }

  @Override
  public int compareTo(FailureDomain other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
