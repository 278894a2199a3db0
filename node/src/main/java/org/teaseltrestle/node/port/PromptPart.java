package org.teaseltrestle.node.port;

/**
 * One part of a prompt.
 *
 * @param hash identity of the part's content
 * @param tokens its length
 */
public record PromptPart(long hash, int tokens) {}
