/** Typed identifiers, the operators' lists and the error family shared by all modules. */
@NullMarked
package org.teaseltrestle.model;

import org.jspecify.annotations.NullMarked;
