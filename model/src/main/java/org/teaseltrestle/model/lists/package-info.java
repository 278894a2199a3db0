/** The operators' two lists: client accounts with their plans, and what each plan may use. */
@NullMarked
package org.teaseltrestle.model.lists;

import org.jspecify.annotations.NullMarked;
