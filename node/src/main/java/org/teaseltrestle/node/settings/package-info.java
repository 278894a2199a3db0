/** Settings of one node, read from a file of JSON with comments and checked in full at start. */
@NullMarked
package org.teaseltrestle.node.settings;

import org.jspecify.annotations.NullMarked;
