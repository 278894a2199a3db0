package org.teaseltrestle.model.operators;

/**
 * Body of an error response.
 *
 * @param code stable code in lower case
 * @param message description for operators
 */
public record OperatorError(String code, String message) {}
