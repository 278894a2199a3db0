/** What is known of streams at all instances, so that a caller may take one up at any of them. */
@NullMarked
package org.teaseltrestle.node.streams;

import org.jspecify.annotations.NullMarked;
