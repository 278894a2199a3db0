/**
 * Attempts at backend servers that one entry node makes for another one which has lost its own
 * connections to them. The node at which the request arrived takes all decisions.
 */
@NullMarked
package org.teaseltrestle.node.carry;

import org.jspecify.annotations.NullMarked;
