/** Tests of the fake engine. */
@NullMarked
package org.teaseltrestle.testkit.engine;

import org.jspecify.annotations.NullMarked;
