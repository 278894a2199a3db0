/**
 * Raft consensus: a core without I/O that turns events into actions, and durable storage.
 *
 * <p>The owner of a core executes all storage actions of a batch, syncs once, and only then
 * executes the remaining actions in order.
 */
@NullMarked
package org.teaseltrestle.consensus;

import org.jspecify.annotations.NullMarked;
