package org.teaseltrestle.model.serving;

import java.util.Set;
import org.teaseltrestle.model.ClientAccount;

/**
 * A client account with its keys.
 *
 * @param account client account
 * @param keys texts of its valid keys
 * @param priority urgency of its requests, 0 first; negative for that of their route
 */
public record ServedAccount(ClientAccount account, Set<String> keys, int priority) {

  /** Copies the keys. */
  public ServedAccount {
    keys = Set.copyOf(keys);
  }

  /** Leaves out the keys, which must not reach a log. */
  @Override
  public String toString() {
    return "ServedAccount[" + account + ", " + keys.size() + " keys, priority=" + priority + "]";
  }
}
