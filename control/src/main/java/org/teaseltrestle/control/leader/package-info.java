/**
 * Pure logic of acting outward: when the leader may act, which order is sent next and by whom, and
 * which usage window is closed or reported next. All times are of the owner's monotonic clock
 * unless a name says wall time.
 */
@NullMarked
package org.teaseltrestle.control.leader;

import org.jspecify.annotations.NullMarked;
