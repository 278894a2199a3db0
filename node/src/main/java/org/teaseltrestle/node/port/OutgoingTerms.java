package org.teaseltrestle.node.port;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.BackendServerId;
import org.teaseltrestle.model.ClientAccount;

/**
 * What one attempt adds to a caller's request.
 *
 * @param server backend server that alone may run it
 * @param account client account that it runs for, null on a route without keys
 * @param remainingMillis time left
 * @param priority urgency, 0 first
 * @param lastEvent event after which a stream is to go on, null to begin it
 */
public record OutgoingTerms(
    BackendServerId server,
    @Nullable ClientAccount account,
    long remainingMillis,
    int priority,
    @Nullable String lastEvent) {}
