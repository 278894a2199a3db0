/** Tests of the fault soak. */
@NullMarked
package org.teaseltrestle.testkit.soak;

import org.jspecify.annotations.NullMarked;
