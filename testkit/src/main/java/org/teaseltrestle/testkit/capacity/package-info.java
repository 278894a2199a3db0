/** Measures what each role costs as its load grows, and what that makes at the target size. */
@NullMarked
package org.teaseltrestle.testkit.capacity;

import org.jspecify.annotations.NullMarked;
