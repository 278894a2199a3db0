/** Randomized fault soak over node processes. */
@NullMarked
package org.teaseltrestle.testkit.soak;

import org.jspecify.annotations.NullMarked;
