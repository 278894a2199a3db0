package org.teaseltrestle.node.relay;

import io.undertow.server.HttpServerExchange;
import org.teaseltrestle.model.RequestId;

/**
 * A caller's request together with its response, as passed to the handlers.
 *
 * @param http request and connection
 * @param request identifier assigned to the request
 * @param path path as received, without the query
 * @param credentials key and remaining query
 * @param response response to the caller
 */
record Exchange(
    HttpServerExchange http,
    RequestId request,
    String path,
    CallerCredentials credentials,
    CallerResponse response) {}
