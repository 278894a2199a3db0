/** Fault-injecting TCP proxy. */
@NullMarked
package org.teaseltrestle.testkit.proxy;

import org.jspecify.annotations.NullMarked;
