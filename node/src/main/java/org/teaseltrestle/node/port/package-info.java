/**
 * Ports: interfaces through which a node reaches engines, plain services, the platform and its own
 * usage duty, and the values that they exchange.
 */
@NullMarked
package org.teaseltrestle.node.port;

import org.jspecify.annotations.NullMarked;
