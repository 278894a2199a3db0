/** Tests of the origins of streams. */
@NullMarked
package org.teaseltrestle.node.streams;

import org.jspecify.annotations.NullMarked;
