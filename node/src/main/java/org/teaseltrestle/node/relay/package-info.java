/** HTTP interface for callers, and the lifecycle of one request from arrival to response. */
@NullMarked
package org.teaseltrestle.node.relay;

import org.jspecify.annotations.NullMarked;
