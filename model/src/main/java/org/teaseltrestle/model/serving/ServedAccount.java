package org.teaseltrestle.model.serving;

import java.util.Set;
import org.teaseltrestle.model.ClientAccount;

/**
 * A client account with its keys.
 *
 * @param account client account
 * @param keys its valid keys, in full
 * @param priority priority of its requests, 0 is the highest; negative for the priority of the
 *     route
 */
public record ServedAccount(ClientAccount account, Set<String> keys, int priority) {

  /** Copies the keys. */
  public ServedAccount {
    keys = Set.copyOf(keys);
  }

  /** Omits the keys, which must not be logged. */
  @Override
  public String toString() {
    return "ServedAccount[" + account + ", " + keys.size() + " keys, priority=" + priority + "]";
  }
}
