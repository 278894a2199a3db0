package org.teaseltrestle.node.replica;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.PoolDemand;
import org.teaseltrestle.wire.RenewalBundle;

/**
 * Makes this node's bundles of renewals and takes grants. A bundle goes up each second; renewals of
 * children go up sooner, so that a lease loses little on its way through several levels.
 */
final class RenewalRound {

  private static final long OWN_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long CHILDREN_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Whether the receiver of the bundles is to send the committed log. */
  enum Subscription {
    FOLLOWS,
    REPLICATES
  }

  private final ControlPlaneSettings settings;
  private final Subscription subscription;
  private final KeyLease lease;
  private final AccountShares shares;
  private final ChildFeeds children;
  private Map<String, Double> ownDemand = Map.of();
  private List<PoolDemand> ownPools = List.of();
  private long nextOwnNanos;
  private long nextChildrenNanos;

  RenewalRound(
      ControlPlaneSettings settings,
      Subscription subscription,
      KeyLease lease,
      AccountShares shares,
      ChildFeeds children,
      long nowNanos) {
    this.settings = settings;
    this.subscription = subscription;
    this.lease = lease;
    this.shares = shares;
    this.children = children;
    this.nextOwnNanos = nowNanos;
    this.nextChildrenNanos = nowNanos;
  }

  boolean isDue(long nowNanos) {
    boolean ownDue = nowNanos - nextOwnNanos >= 0;
    return ownDue || (children.hasRenewals() && nowNanos - nextChildrenNanos >= 0);
  }

  /** Makes the next own renewal due at once. */
  void hurry(long nowNanos) {
    nextOwnNanos = nowNanos;
  }

  /** Returns the bundle that is due. */
  RenewalBundle bundle(AppliedState state, long nowNanos) {
    RenewalBundle.Builder bundle =
        RenewalBundle.newBuilder()
            .setInstance(settings.instance().value())
            .setBoot(settings.boot())
            .setAppliedIndex(state.appliedIndex())
            .setReplyAddress(PeerAddresses.format(settings.peerAddress()))
            .setFollows(subscription == Subscription.FOLLOWS)
            .addAllRenewals(children.takeRenewals());
    nextChildrenNanos = nowNanos + CHILDREN_INTERVAL_NANOS;
    if (nowNanos - nextOwnNanos >= 0) {
      nextOwnNanos = nowNanos + OWN_INTERVAL_NANOS;
      ownDemand = shares.report();
      ownPools = shares.reportPools();
      bundle.addRenewals(lease.renewal(state.view()));
    }
    Map<String, Double> demand = new HashMap<>(ownDemand);
    children.addDemand(demand);
    List<PoolDemand> pools = new ArrayList<>(ownPools);
    children.addPoolDemand(pools);
    return bundle
        .addAllDemand(AccountShares.toList(demand))
        .addAllPoolDemand(PoolDemands.sum(pools))
        .build();
  }

  void granted(GrantBundle grants) {
    grants.getGrantsList().forEach(lease::granted);
    shares.granted(grants);
    children.passGrants(grants);
  }
}
