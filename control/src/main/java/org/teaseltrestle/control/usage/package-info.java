/** Journal of usage records that are not committed yet, on their origin and on its partner. */
@NullMarked
package org.teaseltrestle.control.usage;

import org.jspecify.annotations.NullMarked;
