/**
 * Process infrastructure: service registry, resource closing, duty threads, bounded rings, clocks
 * and numbered log events.
 */
@NullMarked
package org.teaseltrestle.kernel;

import org.jspecify.annotations.NullMarked;
