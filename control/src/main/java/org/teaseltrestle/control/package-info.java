/**
 * Replicated control state and its lease logic, free of sockets, threads, clocks and randomness.
 */
@NullMarked
package org.teaseltrestle.control;

import org.jspecify.annotations.NullMarked;
