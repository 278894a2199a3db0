package org.teaseltrestle.model.operators;

/**
 * Lists to compare with those in effect.
 *
 * @param accountsJson list of accounts
 * @param plansJson list of plans
 */
public record ListsProposal(String accountsJson, String plansJson) {}
