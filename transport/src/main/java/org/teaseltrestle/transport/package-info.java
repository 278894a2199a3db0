/**
 * Messaging between node processes: protobuf envelopes over Netty, with mutual TLS if configured.
 */
@NullMarked
package org.teaseltrestle.transport;

import org.jspecify.annotations.NullMarked;
