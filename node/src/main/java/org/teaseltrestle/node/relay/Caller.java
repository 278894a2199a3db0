package org.teaseltrestle.node.relay;

import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.lists.Plan;

/**
 * Client for whom a request runs.
 *
 * @param account client account
 * @param keyId identifier of the key, null on a route that needs no key
 * @param plan plan of the account, null on a route that needs no key
 */
record Caller(ClientAccount account, @Nullable String keyId, @Nullable Plan plan) {

  static final Caller OPEN = new Caller(AccountLimits.OPEN_ROUTES, null, null);
}
