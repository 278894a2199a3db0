package org.teaseltrestle.node.port;

/**
 * One HTTP header field.
 *
 * @param name name as received
 * @param value value as received
 */
public record HeaderField(String name, String value) {}
