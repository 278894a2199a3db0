/** Tests of the fleet duty. */
@NullMarked
package org.teaseltrestle.node.fleet;

import org.jspecify.annotations.NullMarked;
