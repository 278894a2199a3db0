package org.teaseltrestle.node.relay;

import org.teaseltrestle.node.port.RequestCodec;
import org.teaseltrestle.node.port.RoutedClient;
import org.teaseltrestle.node.port.StreamOrigins;
import org.teaseltrestle.node.serving.ServingConfigurationView;

/**
 * Dependencies that only the relay of routed requests needs.
 *
 * @param codec reads and writes the header fields of requests
 * @param client sends attempts to backend servers
 * @param serving view of the active serving configuration
 * @param streams origins of the streams that callers may take up
 */
public record RoutedRelayDependencies(
    RequestCodec codec,
    RoutedClient client,
    ServingConfigurationView serving,
    StreamOrigins streams) {}
