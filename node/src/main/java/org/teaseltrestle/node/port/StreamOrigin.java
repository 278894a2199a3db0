package org.teaseltrestle.node.port;

import org.teaseltrestle.model.PoolId;

/**
 * What began a stream. A stream that a caller takes up goes on only there.
 *
 * @param pool pool of the server that sent the first event
 * @param softwareVersion version of that server's software
 */
public record StreamOrigin(PoolId pool, String softwareVersion) {}
