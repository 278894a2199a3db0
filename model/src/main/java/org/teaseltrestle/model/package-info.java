/** Typed identifiers, the operators' lists, and error codes and exceptions of all modules. */
@NullMarked
package org.teaseltrestle.model;

import org.jspecify.annotations.NullMarked;
