/** Tests of the control plane of a node over loopback connections and real files. */
@NullMarked
package org.teaseltrestle.node.replica;

import org.jspecify.annotations.NullMarked;
