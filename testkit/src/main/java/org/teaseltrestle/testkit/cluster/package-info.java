/** Local clusters of node processes and fakes. */
@NullMarked
package org.teaseltrestle.testkit.cluster;

import org.jspecify.annotations.NullMarked;
