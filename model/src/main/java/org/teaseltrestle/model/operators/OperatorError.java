package org.teaseltrestle.model.operators;

/**
 * Body of an answer that is an error.
 *
 * @param code stable code in lower case
 * @param message what is wrong, for people
 */
public record OperatorError(String code, String message) {}
