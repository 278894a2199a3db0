package org.teaseltrestle.node.port;

/**
 * Load that a backend server adds to an answer.
 *
 * @param running requests running
 * @param waiting requests waiting
 * @param slots requests that it runs at once
 */
public record ReportedLoad(int running, int waiting, int slots) {

  @Override
  public String toString() {
    return running + "+" + waiting + "/" + slots;
  }
}
