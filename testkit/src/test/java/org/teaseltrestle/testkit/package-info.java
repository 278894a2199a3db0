/** Tests of the package. */
@NullMarked
package org.teaseltrestle.testkit;

import org.jspecify.annotations.NullMarked;
