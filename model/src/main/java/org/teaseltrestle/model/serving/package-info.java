/** Serving configuration: routes, pools, client accounts with their keys, and callers' limits. */
@NullMarked
package org.teaseltrestle.model.serving;

import org.jspecify.annotations.NullMarked;
