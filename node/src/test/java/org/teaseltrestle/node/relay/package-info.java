/** Tests of the relay against small HTTP stand-ins. */
@NullMarked
package org.teaseltrestle.node.relay;

import org.jspecify.annotations.NullMarked;
