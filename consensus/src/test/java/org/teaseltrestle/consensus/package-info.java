/** Tests of the Raft core under random schedules, and of the replica's files. */
@NullMarked
package org.teaseltrestle.consensus;

import org.jspecify.annotations.NullMarked;
