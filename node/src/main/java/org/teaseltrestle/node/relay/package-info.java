/** The callers' HTTP front and the life of one request. */
@NullMarked
package org.teaseltrestle.node.relay;

import org.jspecify.annotations.NullMarked;
