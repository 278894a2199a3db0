package org.teaseltrestle.model.lists;

import java.util.Map;
import java.util.Optional;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.model.ItemName;
import org.teaseltrestle.model.PlanName;

/**
 * The operators' two lists after validation; immutable.
 *
 * @param accounts plan of each client account
 * @param plans plans by name
 * @param models models by name
 * @param services plain services by name
 */
public record ServingLists(
    Map<ClientAccount, PlanName> accounts,
    Map<PlanName, Plan> plans,
    Map<ItemName, ModelEntry> models,
    Map<ItemName, ServiceEntry> services) {

  /** Empty lists, in effect before the first accepted change. */
  public static final ServingLists EMPTY = new ServingLists(Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps. */
  public ServingLists {
    accounts = Map.copyOf(accounts);
    plans = Map.copyOf(plans);
    models = Map.copyOf(models);
    services = Map.copyOf(services);
  }

  /** Returns the plan of a client account, if the account is listed. */
  public Optional<Plan> planOf(ClientAccount account) {
    return Optional.ofNullable(accounts.get(account)).map(plans::get);
  }
}
