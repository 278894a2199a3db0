package org.teaseltrestle.model.operators;

/**
 * Request to replace both lists.
 *
 * @param requestId chosen by the operator; a retry with the same id returns the first response
 * @param baseRevision revision that the change replaces
 * @param accountsJson new list of accounts
 * @param plansJson new list of plans
 * @param operatorName name of the operator who requests the change
 */
public record ListsChange(
    String requestId,
    long baseRevision,
    String accountsJson,
    String plansJson,
    String operatorName) {}
