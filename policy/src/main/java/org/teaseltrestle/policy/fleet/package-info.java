/**
 * Fleet decisions: the backend servers that an instance uses, engine roles, and the number of
 * servers.
 */
@NullMarked
package org.teaseltrestle.policy.fleet;

import org.jspecify.annotations.NullMarked;
