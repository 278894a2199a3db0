/**
 * Implementations of the ports that call engines, plain services and the platform over HTTP with
 * OkHttp.
 */
@NullMarked
package org.teaseltrestle.node.backend;

import org.jspecify.annotations.NullMarked;
