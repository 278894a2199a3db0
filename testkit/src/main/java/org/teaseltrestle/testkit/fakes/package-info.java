/** Fakes of the service and the platform, and what all fakes share. */
@NullMarked
package org.teaseltrestle.testkit.fakes;

import org.jspecify.annotations.NullMarked;
