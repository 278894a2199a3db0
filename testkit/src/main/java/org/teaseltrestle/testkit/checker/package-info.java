/** Checks of the invariants on the records of a run. */
@NullMarked
package org.teaseltrestle.testkit.checker;

import org.jspecify.annotations.NullMarked;
