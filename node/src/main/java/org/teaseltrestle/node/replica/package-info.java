/**
 * Control plane of a node: the replica of a voter, the follow service of a non-voter, requests to
 * the leader, key leases and authority.
 */
@NullMarked
package org.teaseltrestle.node.replica;

import org.jspecify.annotations.NullMarked;
