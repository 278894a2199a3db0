package org.teaseltrestle.testkit.checker;

/**
 * A violation of an invariant.
 *
 * @param invariant violated invariant
 * @param text what was observed, in words
 */
public record Violation(Invariant invariant, String text) {

  @Override
  public String toString() {
    return invariant.number() + " " + invariant.name() + ": " + text;
  }
}
