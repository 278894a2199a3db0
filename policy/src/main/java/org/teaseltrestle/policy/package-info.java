/**
 * Pure decisions between a caller and a backend server: no sockets, threads, clocks or randomness.
 */
@NullMarked
package org.teaseltrestle.policy;

import org.jspecify.annotations.NullMarked;
