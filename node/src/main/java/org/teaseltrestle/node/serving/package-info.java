/** Serving configuration in effect, and the service by which operators publish and read it. */
@NullMarked
package org.teaseltrestle.node.serving;

import org.jspecify.annotations.NullMarked;
