/** Fake of a language-model engine. */
@NullMarked
package org.teaseltrestle.testkit.engine;

import org.jspecify.annotations.NullMarked;
