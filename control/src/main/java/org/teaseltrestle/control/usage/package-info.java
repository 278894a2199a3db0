/** Usage records that are not committed yet, held by their origin and by its partner. */
@NullMarked
package org.teaseltrestle.control.usage;

import org.jspecify.annotations.NullMarked;
