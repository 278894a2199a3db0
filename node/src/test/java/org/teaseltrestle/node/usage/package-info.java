/** Tests of usage records and their copies. */
@NullMarked
package org.teaseltrestle.node.usage;

import org.jspecify.annotations.NullMarked;
