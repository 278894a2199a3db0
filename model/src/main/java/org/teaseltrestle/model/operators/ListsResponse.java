package org.teaseltrestle.model.operators;

/**
 * The lists in effect.
 *
 * @param revision revision of the lists, 0 before the first accepted change
 * @param appliedIndex log index applied by the responding node
 * @param accountsJson list of accounts as its author wrote it
 * @param plansJson list of plans as its author wrote it
 */
public record ListsResponse(
    long revision, long appliedIndex, String accountsJson, String plansJson) {}
