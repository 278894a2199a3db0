/** Tests of the package. */
@NullMarked
package org.teaseltrestle.testkit.proxy;

import org.jspecify.annotations.NullMarked;
