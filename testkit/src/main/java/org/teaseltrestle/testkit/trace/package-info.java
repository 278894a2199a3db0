/** Trace format and makers of seeded traces. */
@NullMarked
package org.teaseltrestle.testkit.trace;

import org.jspecify.annotations.NullMarked;
