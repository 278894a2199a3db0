/** Tests of the logic of acting outward. */
@NullMarked
package org.teaseltrestle.control.leader;

import org.jspecify.annotations.NullMarked;
