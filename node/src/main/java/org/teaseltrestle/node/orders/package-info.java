/**
 * Orders duty: observes the fleet, sends committed orders and reports usage windows under
 * authority.
 */
@NullMarked
package org.teaseltrestle.node.orders;

import org.jspecify.annotations.NullMarked;
