package org.teaseltrestle.node.backend;

import java.util.List;
import okhttp3.HttpUrl;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.policy.FailureKind;

/** Address of a backend server, and the URL of a call to it. */
public final class BackendAddress {

  private BackendAddress() {}

  /**
   * Returns whether an address names a host and a port and nothing else, with or without scheme.
   */
  public static boolean isValid(String address) {
    HttpUrl url = HttpUrl.parse(withScheme(address));
    return url != null
        && url.encodedPath().equals("/")
        && url.encodedUsername().isEmpty()
        && url.encodedPassword().isEmpty()
        && url.encodedQuery() == null
        && url.encodedFragment() == null;
  }

  /**
   * Returns the address if it is valid.
   *
   * @throws TrestleException with {@link ErrorCode#INVALID_IDENTIFIER} otherwise
   */
  static String check(String address) {
    if (!isValid(address)) {
      throw new TrestleException(
          ErrorCode.INVALID_IDENTIFIER, "not a valid address of a backend server");
    }
    return address;
  }

  /**
   * Returns the URL of a request; an address without a scheme is taken as {@code http}.
   *
   * @throws AttemptFailure if the address is invalid
   */
  static HttpUrl url(String address, String target) {
    String base = withScheme(address);
    HttpUrl url = HttpUrl.parse(base.endsWith("/") ? base + target.substring(1) : base + target);
    if (url == null) {
      throw new AttemptFailure(
          FailureKind.CONNECT_FAILED, "address of the backend server is not a valid URL");
    }
    return url;
  }

  /**
   * Returns the URL of a request whose target is sent as it is. The builder of OkHttp would encode
   * characters that a target may contain, and resolve dot segments.
   *
   * @param address address without a path
   * @param target path and query, valid in a request line
   * @throws AttemptFailure if the address is invalid
   */
  static HttpUrl urlWithExactTarget(String address, String target) {
    HttpUrl base = url(address, "/");
    String root = base.toString();
    return new HttpUrl(
        base.scheme(),
        "",
        "",
        base.host(),
        base.port(),
        List.of(""),
        target.indexOf('?') < 0 ? null : List.of(""),
        null,
        root.substring(0, root.length() - 1) + target);
  }

  private static String withScheme(String address) {
    return address.contains("://") ? address : "http://" + address;
  }
}
