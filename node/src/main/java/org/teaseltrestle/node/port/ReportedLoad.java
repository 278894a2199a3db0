package org.teaseltrestle.node.port;

/**
 * Load that a backend server reports in the header of a response.
 *
 * @param running number of running requests
 * @param waiting number of waiting requests
 * @param slots maximum number of requests that run concurrently
 */
public record ReportedLoad(int running, int waiting, int slots) {

  @Override
  public String toString() {
    return running + "+" + waiting + "/" + slots;
  }
}
