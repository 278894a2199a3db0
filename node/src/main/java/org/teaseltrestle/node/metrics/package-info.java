/** HTTP endpoint for the metrics of a process. */
@NullMarked
package org.teaseltrestle.node.metrics;

import org.jspecify.annotations.NullMarked;
