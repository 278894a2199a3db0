/**
 * Messages between node processes: protobuf envelopes over Netty, with mutual TLS when configured.
 */
@NullMarked
package org.teaseltrestle.transport;

import org.jspecify.annotations.NullMarked;
