/** Tests of the serving configuration in effect. */
@NullMarked
package org.teaseltrestle.node.serving;

import org.jspecify.annotations.NullMarked;
