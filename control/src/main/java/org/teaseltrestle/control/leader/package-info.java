/**
 * Decisions about external calls, without I/O: when the leader may make them, which order is sent
 * next and by which instance, and which usage window is closed or reported next. All times are
 * monotonic nanoseconds of the calling process unless a name says wall time.
 */
@NullMarked
package org.teaseltrestle.control.leader;

import org.jspecify.annotations.NullMarked;
