/**
 * Replicated control state and its lease logic. Nothing here uses sockets, threads, clocks or
 * random sources.
 */
@NullMarked
package org.teaseltrestle.control;

import org.jspecify.annotations.NullMarked;
