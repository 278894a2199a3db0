/** Fake language-model engine for tests. */
@NullMarked
package org.teaseltrestle.testkit.engine;

import org.jspecify.annotations.NullMarked;
