/** Small interfaces towards engines, plain services, the platform and the usage duty. */
@NullMarked
package org.teaseltrestle.node.port;

import org.jspecify.annotations.NullMarked;
