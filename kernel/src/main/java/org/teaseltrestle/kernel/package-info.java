/**
 * Micro-kernel: named services, resource closing, duty threads, bounded rings, clocks, numbered log
 * events and counters.
 */
@NullMarked
package org.teaseltrestle.kernel;

import org.jspecify.annotations.NullMarked;
