/** Tests with node processes, fakes and injected faults. */
@NullMarked
package org.teaseltrestle.integration.faults;

import org.jspecify.annotations.NullMarked;
