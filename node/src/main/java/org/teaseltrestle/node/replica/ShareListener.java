package org.teaseltrestle.node.replica;

import java.util.Map;
import org.teaseltrestle.model.ClientAccount;

/** Receives this node's share of each account's limits. */
@FunctionalInterface
public interface ShareListener {

  /**
   * Replaces the shares. Called from a duty thread; must not block.
   *
   * @param shares share of each account's limits, from 0 to 1
   * @param totalDemand demand of each account over all instances, in tokens a second
   * @param expiresAtNanos monotonic time after which the default share applies
   * @param defaultShare share of accounts without an entry: 1/N with N registered instances
   */
  void granted(
      Map<ClientAccount, Double> shares,
      Map<ClientAccount, Double> totalDemand,
      long expiresAtNanos,
      double defaultShare);
}
