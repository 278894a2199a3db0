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
 * Creates this node's bundles of lease renewals and applies the grants. A bundle is due each
 * second; renewals of children are due sooner, so that a lease loses little of its duration on the
 * way through several levels of the tree.
 */
final class LeaseRenewer {

  private static final long OWN_RENEWAL_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
  private static final long CHILD_RENEWALS_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  /** Time after a change in which the renewals of children are passed on at once. */
  private static final long PROMPT_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Time in which a node that looks for another path to the leader has asked all candidates. */
  private static final long PATH_SEARCH_NANOS = TimeUnit.SECONDS.toNanos(1);

  /** Time that a renewal needs to the leader, with the wait at the node that passes it on. */
  private static final long PASSING_ON_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** What this node subscribes to with its bundles. */
  enum Subscription {
    /** The receiver sends the committed log. */
    COMMITTED_LOG,
    /** The node replicates the log itself. */
    NONE
  }

  private final ControlPlaneSettings settings;
  private final Subscription subscription;
  private final KeyLease lease;
  private final AccountShares shares;
  private final ChildFeeds children;
  private Map<String, Double> ownDemand = Map.of();
  private List<PoolDemand> ownPools = List.of();
  private final StateAssembly heldState = new StateAssembly();
  private boolean entriesMissing;

  /** Index of an entry whose difference could not be applied, 0 if there was none. */
  private long unreadableIndex;

  private long nextOwnRenewalNanos;
  private long nextChildRenewalsNanos;
  private long promptUntilNanos;

  LeaseRenewer(
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
    this.nextOwnRenewalNanos = nowNanos;
    this.nextChildRenewalsNanos = nowNanos;
    this.promptUntilNanos = nowNanos;
  }

  /**
   * Returns the longest time between two renewals that the leader receives of a node which has any
   * path to it: the leader has received each renewal that it answered, and a node whose latest
   * answered renewal is older than the timeout sends its renewals to all candidates.
   */
  static long longestSilenceNanos(DisseminationTreeSettings tree) {
    return tree.renewalTimeoutNanos() + PATH_SEARCH_NANOS + PASSING_ON_NANOS;
  }

  boolean isDue(long nowNanos) {
    boolean ownDue = nowNanos - nextOwnRenewalNanos >= 0;
    return ownDue || (children.hasRenewals() && nowNanos - nextChildRenewalsNanos >= 0);
  }

  /** Returns the monotonic time at which this node's own renewal is due, in nanoseconds. */
  long nextOwnRenewalNanos() {
    return nextOwnRenewalNanos;
  }

  /** Makes this node's next renewal due immediately. */
  void makeDueNow(long nowNanos) {
    nextOwnRenewalNanos = nowNanos;
  }

  /** Makes the leader learn soon which instances have applied a change. */
  void reportPromptly(long nowNanos) {
    makeDueNow(nowNanos);
    nextChildRenewalsNanos = nowNanos;
    promptUntilNanos = nowNanos + PROMPT_NANOS;
  }

  /** Asks the parent, with the next bundle, for the entries after the applied index. */
  void requestMissingEntries(long nowNanos) {
    entriesMissing = true;
    makeDueNow(nowNanos);
  }

  /** Returns the state that arrives in parts; the bundles acknowledge them. */
  StateAssembly heldState() {
    return heldState;
  }

  /** Lets the parent send no differences until an entry is applied. */
  void readWhole(long index) {
    unreadableIndex = index;
  }

  /**
   * Returns a question for the news of a node that is not the parent. Its renewal proves whether
   * that node has a path to the leader.
   */
  RenewalBundle question(AppliedState state, long nowNanos) {
    return withoutRenewals(state, nowNanos)
        .setAsks(true)
        .addRenewals(lease.renewal(state.view()))
        .build();
  }

  private RenewalBundle.Builder withoutRenewals(AppliedState state, long nowNanos) {
    return RenewalBundle.newBuilder()
        .setSentAtNanos(nowNanos)
        .setInstance(settings.instance().value())
        .setBoot(settings.boot())
        .setAppliedIndex(state.appliedIndex())
        .setReplyAddress(PeerAddresses.format(settings.peerAddress()))
        .setFollows(subscription == Subscription.COMMITTED_LOG)
        .setReadsDifferences(state.appliedIndex() >= unreadableIndex)
        .setStateIndex(heldState.index())
        .setStateBytes(heldState.receivedBytes());
  }

  /** Returns the next bundle and schedules the one after it. */
  RenewalBundle bundle(AppliedState state, long nowNanos) {
    RenewalBundle.Builder bundle =
        withoutRenewals(state, nowNanos)
            .setEntriesMissing(entriesMissing)
            .addAllRenewals(children.drainRenewals());
    entriesMissing = false;
    boolean prompt = nowNanos - promptUntilNanos < 0;
    nextChildRenewalsNanos = prompt ? nowNanos : nowNanos + CHILD_RENEWALS_INTERVAL_NANOS;
    if (nowNanos - nextOwnRenewalNanos >= 0) {
      nextOwnRenewalNanos = nowNanos + OWN_RENEWAL_INTERVAL_NANOS;
      ownDemand = shares.collectDemand();
      ownPools = shares.collectPoolDemand();
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

  /** Applies the grants for this node and forwards those for its children. */
  void applyGrants(GrantBundle grants) {
    grants.getGrantsList().forEach(lease::applyGrant);
    shares.applyGrants(grants);
    children.forwardGrants(grants);
  }
}
