/** Tests of the package. */
@NullMarked
package org.teaseltrestle.testkit.engine;

import org.jspecify.annotations.NullMarked;
