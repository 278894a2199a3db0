package org.teaseltrestle.node.port;

import java.util.List;

/** Whether a response names the request that it was read for. */
public enum ResponseIdentity {
  /** The response names this request. */
  SAME,
  /**
   * The response names no request. It belongs to what its connection was asked, which is one
   * request: no connection to a backend server is used again.
   */
  MISSING,
  /** The response names another request, or more than one. It is no evidence about this one. */
  OTHER;

  /**
   * Compares the identifiers that a response carries.
   *
   * @param requestId identifier that the request was sent with, empty if none
   * @param received values of all identifier fields of the response; empty ones name no request
   */
  public static ResponseIdentity of(String requestId, List<String> received) {
    List<String> named = received.stream().filter(each -> !each.isEmpty()).toList();
    if (named.isEmpty()) {
      return MISSING;
    }
    return named.stream().allMatch(requestId::equals) ? SAME : OTHER;
  }
}
