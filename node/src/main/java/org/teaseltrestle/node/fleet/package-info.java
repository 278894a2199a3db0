/** Background view of the backend servers: instance list, load reports and cache events. */
@NullMarked
package org.teaseltrestle.node.fleet;

import org.jspecify.annotations.NullMarked;
