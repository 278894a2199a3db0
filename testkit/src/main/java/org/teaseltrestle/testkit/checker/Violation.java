package org.teaseltrestle.testkit.checker;

/**
 * A breach of an invariant.
 *
 * @param invariant which one
 * @param text what was seen
 */
public record Violation(Invariant invariant, String text) {

  @Override
  public String toString() {
    return invariant.number() + " " + invariant.name() + ": " + text;
  }
}
