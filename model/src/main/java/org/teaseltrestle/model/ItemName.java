package org.teaseltrestle.model;

/**
 * Name of a model or a plain HTTP service that a plan may use; usage is counted by this name.
 *
 * @param value identifier text, 1 to {@value Identifiers#MAXIMUM_LENGTH} characters
 */
public record ItemName(String value) implements Comparable<ItemName> {

  /**
   * Checks the identifier.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_IDENTIFIER} if the text is malformed
   */
  public ItemName {
    Identifiers.check(value);
  }

  @Override
  public int compareTo(ItemName other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
