/**
 * JSON with comments, read into values that know their position, so that every fault of a file is
 * reported at once with its file, line, column and JSON pointer.
 */
@NullMarked
package org.teaseltrestle.model.json;

import org.jspecify.annotations.NullMarked;
