package org.teaseltrestle.model;

/**
 * Name of a plan that client accounts are assigned to.
 *
 * @param value identifier text, 1 to {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record PlanName(String value) implements Comparable<PlanName> {

  /**
   * Checks the identifier.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  public PlanName {
    Identifiers.check(value);
  }

  @Override
  public int compareTo(PlanName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
