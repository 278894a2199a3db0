package org.teaseltrestle.node.backend;

import okhttp3.HttpUrl;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.policy.FailureKind;

/** Builds the URL of a call from a backend server's address. */
final class BackendAddress {

  private BackendAddress() {}

  /** Returns the URL; an address without a scheme is taken as {@code http}. */
  static HttpUrl url(String address, String target) {
    String base = address.contains("://") ? address : "http://" + address;
    HttpUrl url = HttpUrl.parse(base.endsWith("/") ? base + target.substring(1) : base + target);
    if (url == null) {
      throw new AttemptFailure(FailureKind.CONNECT_FAILED, "backend server has a bad address");
    }
    return url;
  }
}
