/** Test kit: fakes, proxy, replay and checks; never shipped. */
@NullMarked
package org.teaseltrestle.testkit;

import org.jspecify.annotations.NullMarked;
