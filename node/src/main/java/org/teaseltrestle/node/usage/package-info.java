/** Usage duty: copies usage records to a partner instance and commits them in batches. */
@NullMarked
package org.teaseltrestle.node.usage;

import org.jspecify.annotations.NullMarked;
