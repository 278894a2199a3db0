/** Serving configuration in force, and its changes and reads by operators. */
@NullMarked
package org.teaseltrestle.node.serving;

import org.jspecify.annotations.NullMarked;
