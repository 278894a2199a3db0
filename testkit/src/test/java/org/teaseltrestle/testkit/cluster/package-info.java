/** Tests of the package. */
@NullMarked
package org.teaseltrestle.testkit.cluster;

import org.jspecify.annotations.NullMarked;
