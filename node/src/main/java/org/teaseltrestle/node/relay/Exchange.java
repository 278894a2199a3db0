package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import org.teaseltrestle.model.RequestId;

/**
 * One request of a caller on its way through the handlers.
 *
 * @param http request and connection
 * @param request identifier given to the request
 * @param path path as received, without the query
 * @param credentials key and remaining query
 * @param response answer to the caller
 */
record Exchange(
    HttpServerExchange http,
    RequestId request,
    String path,
    CallerCredentials credentials,
    CallerResponse response) {}
