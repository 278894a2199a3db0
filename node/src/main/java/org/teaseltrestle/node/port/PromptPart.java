package org.teaseltrestle.node.port;

/**
 * One part of a prompt.
 *
 * @param hash hash of the part's content
 * @param tokens length in tokens
 */
public record PromptPart(long hash, int tokens) {}
