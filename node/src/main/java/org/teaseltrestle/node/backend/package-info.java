/** OkHttp adapters of the ports. */
@NullMarked
package org.teaseltrestle.node.backend;

import org.jspecify.annotations.NullMarked;
