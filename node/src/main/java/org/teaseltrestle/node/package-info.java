/** The node binary: process start, wiring and shutdown. */
@NullMarked
package org.teaseltrestle.node;

import org.jspecify.annotations.NullMarked;
