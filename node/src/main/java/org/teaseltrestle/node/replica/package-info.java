/**
 * Control plane of a node: the voter's replica, the follower of the committed log, forwarding of
 * proposals to the leader, key leases and authority.
 */
@NullMarked
package org.teaseltrestle.node.replica;

import org.jspecify.annotations.NullMarked;
