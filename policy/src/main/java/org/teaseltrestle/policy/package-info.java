/**
 * Admission control, queueing, load balancing and retry decisions for requests to backend servers.
 * Pure logic: it opens no sockets, starts no threads and reads neither clocks nor random sources.
 */
@NullMarked
package org.teaseltrestle.policy;

import org.jspecify.annotations.NullMarked;
