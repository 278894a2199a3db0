/** Tests of the capacity measurement. */
@NullMarked
package org.teaseltrestle.testkit.capacity;

import org.jspecify.annotations.NullMarked;
