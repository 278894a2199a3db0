/** Metrics of a process, served as text. */
@NullMarked
package org.teaseltrestle.node.metrics;

import org.jspecify.annotations.NullMarked;
