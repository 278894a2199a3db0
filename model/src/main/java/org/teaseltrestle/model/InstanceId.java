package org.teaseltrestle.model;

/**
 * Identifies one instance, a machine that runs a node process.
 *
 * @param value identifier text, 1 to {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record InstanceId(String value) implements Comparable<InstanceId> {

  /**
   * Checks the identifier.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  public InstanceId {
    Identifiers.check(value);
  }

  @Override
  public int compareTo(InstanceId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
