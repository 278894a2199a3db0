/** Tests of the traces. */
@NullMarked
package org.teaseltrestle.testkit.trace;

import org.jspecify.annotations.NullMarked;
