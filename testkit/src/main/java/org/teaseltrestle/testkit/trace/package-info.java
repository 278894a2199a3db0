/** Trace format, and generation of traces from a seed. */
@NullMarked
package org.teaseltrestle.testkit.trace;

import org.jspecify.annotations.NullMarked;
