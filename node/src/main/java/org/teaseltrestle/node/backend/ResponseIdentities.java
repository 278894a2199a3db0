package org.teaseltrestle.node.backend;

import java.util.List;
import okhttp3.Response;
import org.teaseltrestle.node.port.AttemptFailure;
import org.teaseltrestle.node.port.ResponseIdentity;

/** Determines which request the response of a backend server belongs to. */
final class ResponseIdentities {

  /** Header field by which a response names its request. */
  static final String REQUEST_ID = "X-Request-Id";

  private ResponseIdentities() {}

  /**
   * Returns whether a response names its request. Nothing else in a response counts before this.
   *
   * @throws AttemptFailure if the response names another request
   */
  static ResponseIdentity check(Response response) {
    String requestId = response.request().header(REQUEST_ID);
    String asked = requestId == null ? "" : requestId;
    List<String> received = response.headers(REQUEST_ID);
    ResponseIdentity identity = ResponseIdentity.of(asked, received);
    if (identity == ResponseIdentity.OTHER) {
      throw AttemptFailure.foreignResponse(asked, received, response.code());
    }
    return identity;
  }
}
