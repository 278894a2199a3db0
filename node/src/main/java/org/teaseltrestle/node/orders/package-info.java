/**
 * Orders duty: observes the fleet, decides on orders, sends committed orders and reports usage
 * windows while this process holds the authority.
 */
@NullMarked
package org.teaseltrestle.node.orders;

import org.jspecify.annotations.NullMarked;
