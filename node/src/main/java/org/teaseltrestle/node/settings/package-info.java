/** Settings of one node, read from a file of JSON with comments and fully validated at startup. */
@NullMarked
package org.teaseltrestle.node.settings;

import org.jspecify.annotations.NullMarked;
