package org.teaseltrestle.node.relay;

import org.teaseltrestle.node.port.RelayedClient;
import org.teaseltrestle.node.port.RequestCodec;
import org.teaseltrestle.node.serving.ServingView;

/**
 * What the relay of routed requests uses beyond what all requests use.
 *
 * @param codec reads and writes header fields
 * @param client sends attempts
 * @param serving serving configuration in force
 */
public record RoutedSetup(RequestCodec codec, RelayedClient client, ServingView serving) {}
