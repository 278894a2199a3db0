package org.teaseltrestle.model.json;

import org.teaseltrestle.model.SourceLocation;

/**
 * A converted value with its location, for checks that span several places in a file.
 *
 * @param location where the value starts
 * @param value converted value
 */
public record Located<T>(SourceLocation location, T value) {}
