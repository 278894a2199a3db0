/** Tests of the fakes. */
@NullMarked
package org.teaseltrestle.testkit.fakes;

import org.jspecify.annotations.NullMarked;
