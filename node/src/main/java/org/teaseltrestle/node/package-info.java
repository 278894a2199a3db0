/** The node process: startup, dependency injection and shutdown. */
@NullMarked
package org.teaseltrestle.node;

import org.jspecify.annotations.NullMarked;
