/** Fleet duty: reads the instance list, load reports and cache events of backend servers. */
@NullMarked
package org.teaseltrestle.node.fleet;

import org.jspecify.annotations.NullMarked;
