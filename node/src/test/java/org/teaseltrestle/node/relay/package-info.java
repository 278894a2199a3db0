/** Tests of the relay against fake HTTP servers. */
@NullMarked
package org.teaseltrestle.node.relay;

import org.jspecify.annotations.NullMarked;
