/**
 * JSON with comments, parsed into values with their locations, so that all errors of a file are
 * reported together, each with its file, line, column and JSON pointer.
 */
@NullMarked
package org.teaseltrestle.model.json;

import org.jspecify.annotations.NullMarked;
