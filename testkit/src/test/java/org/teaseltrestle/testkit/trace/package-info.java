/** Tests of the package. */
@NullMarked
package org.teaseltrestle.testkit.trace;

import org.jspecify.annotations.NullMarked;
