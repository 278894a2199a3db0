/** Tests of the decisions about external calls. */
@NullMarked
package org.teaseltrestle.control.leader;

import org.jspecify.annotations.NullMarked;
