/** Decisions about the fleet: which servers an instance watches, engine roles, and spending. */
@NullMarked
package org.teaseltrestle.policy.fleet;

import org.jspecify.annotations.NullMarked;
