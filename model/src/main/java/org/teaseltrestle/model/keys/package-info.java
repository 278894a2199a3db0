/** Text form and hash of the keys that callers present. */
@NullMarked
package org.teaseltrestle.model.keys;

import org.jspecify.annotations.NullMarked;
