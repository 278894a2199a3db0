package org.teaseltrestle.node.backend;

import okhttp3.HttpUrl;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.policy.FailureKind;

/** Builds the URL of a call from a backend server's address. */
final class BackendAddress {

  private BackendAddress() {}

  /**
   * Returns the URL of a request; an address without a scheme is taken as {@code http}.
   *
   * @throws AttemptFailure if the address is invalid
   */
  static HttpUrl url(String address, String target) {
    String base = address.contains("://") ? address : "http://" + address;
    HttpUrl url = HttpUrl.parse(base.endsWith("/") ? base + target.substring(1) : base + target);
    if (url == null) {
      throw new AttemptFailure(
          FailureKind.CONNECT_FAILED, "address of the backend server is not a valid URL");
    }
    return url;
  }
}
