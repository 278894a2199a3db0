/** Tests of the package. */
@NullMarked
package org.teaseltrestle.testkit.checker;

import org.jspecify.annotations.NullMarked;
