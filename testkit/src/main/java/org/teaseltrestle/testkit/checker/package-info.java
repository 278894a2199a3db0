/** Checks the invariants of the design against the records of a run. */
@NullMarked
package org.teaseltrestle.testkit.checker;

import org.jspecify.annotations.NullMarked;
