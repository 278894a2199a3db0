/** Test kit: fakes, fault proxy, trace replay and invariant checks; not part of a release. */
@NullMarked
package org.teaseltrestle.testkit;

import org.jspecify.annotations.NullMarked;
