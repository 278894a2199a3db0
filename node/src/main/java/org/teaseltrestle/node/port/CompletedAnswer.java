package org.teaseltrestle.node.port;

import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.RequestId;

/**
 * Usage of one completed answer.
 *
 * @param request identifier of the request
 * @param account client account that is charged
 * @param item model or plain service
 * @param promptTokens prompt length in tokens, 0 for a service call
 * @param outputTokens answer length in tokens, 0 for a service call
 * @param completedAtMillis wall time in milliseconds since 1970-01-01T00:00:00Z
 */
public record CompletedAnswer(
    RequestId request,
    ClientAccount account,
    ItemName item,
    int promptTokens,
    int outputTokens,
    long completedAtMillis) {}
