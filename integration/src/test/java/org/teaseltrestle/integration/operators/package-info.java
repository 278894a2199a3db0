/** Tests of the command line against the operators' API. */
@NullMarked
package org.teaseltrestle.integration.operators;

import org.jspecify.annotations.NullMarked;
