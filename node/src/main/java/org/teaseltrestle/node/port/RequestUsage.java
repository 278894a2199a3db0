package org.teaseltrestle.node.port;

import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.RequestId;

/**
 * Usage of one request, for billing.
 *
 * @param request identifier of the request
 * @param account client account that is charged
 * @param item model or plain service
 * @param promptTokens length of the prompt in tokens, 0 for a call of a plain service
 * @param outputTokens length of the output in tokens, 0 for a call of a plain service
 * @param completedAtMillis wall time in milliseconds since 1970-01-01T00:00:00Z; for a request
 *     whose start is recorded, the time of its start
 */
public record RequestUsage(
    RequestId request,
    ClientAccount account,
    ItemName item,
    int promptTokens,
    int outputTokens,
    long completedAtMillis) {}
