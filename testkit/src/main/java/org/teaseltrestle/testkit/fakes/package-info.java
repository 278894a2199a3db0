/** Fake plain service, fake platform and the classes that all fakes share. */
@NullMarked
package org.teaseltrestle.testkit.fakes;

import org.jspecify.annotations.NullMarked;
