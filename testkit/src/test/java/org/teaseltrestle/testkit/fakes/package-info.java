/** Tests of the package. */
@NullMarked
package org.teaseltrestle.testkit.fakes;

import org.jspecify.annotations.NullMarked;
