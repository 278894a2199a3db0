/** Division of the accounts' limits over the entry instances, decided by the leader. */
@NullMarked
package org.teaseltrestle.policy.limits;

import org.jspecify.annotations.NullMarked;
