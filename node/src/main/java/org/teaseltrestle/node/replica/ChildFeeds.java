package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.lists.ServingLists;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.CommittedState;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.LeaseGrant;
import org.teaseltrestle.wire.LeaseRenewal;
import org.teaseltrestle.wire.LoggedCommand;
import org.teaseltrestle.wire.PoolDemand;
import org.teaseltrestle.wire.RenewalBundle;

/**
 * Children of this process in the dissemination tree: sends them the committed log, collects their
 * renewals and demand, and forwards grants to them. Used by one duty thread.
 */
final class ChildFeeds {

  private static final long CHILD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final int MAXIMUM_BATCH_BYTES = 1024 * 1024;
  private static final int MAXIMUM_CHILDREN = 256;

  /** Minimum time between two batches of commands to the children. */
  private static final long MINIMUM_FEED_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  /**
   * Time for which commands about usage may wait. All entry nodes commit usage all the time, so
   * prompt feeds would cost in proportion to the square of their number. Not longer, since a child
   * notices by the next feed that it has missed one.
   */
  private static final long USAGE_FEED_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

  private final PeerTransport transport;
  private final PeerAddresses addresses;
  private final MonotonicClock clock;
  private final Supplier<KnownState> known;
  private final Supplier<Optional<KnownLeader>> leader;
  private final Map<String, Child> children = new HashMap<>();
  private final Map<String, LeaseRenewal> renewals = new LinkedHashMap<>();
  private final Map<String, String> childOfInstance = new HashMap<>();
  private ServingLists lists = ServingLists.EMPTY;
  private long lastFedIndex;
  private long lastFeedNanos;

  private static final class Child {
    InetSocketAddress address;
    long sentIndex;
    long reportedIndex = -1;
    long lastMessageNanos;

    /** Time on the child's clock at which it sent its latest bundle. */
    long bundleSentAtNanos;

    Map<String, Double> demand = Map.of();
    List<PoolDemand> pools = List.of();

    Child(InetSocketAddress address) {
      this.address = address;
    }
  }

  /**
   * Creates the feeds without children.
   *
   * @param known what this process knows of the committed log
   * @param leader leader that this process has recent news of
   */
  ChildFeeds(
      PeerTransport transport,
      PeerAddresses addresses,
      MonotonicClock clock,
      Supplier<KnownState> known,
      Supplier<Optional<KnownLeader>> leader) {
    this.known = known;
    this.leader = leader;
    this.transport = transport;
    this.addresses = addresses;
    this.clock = clock;
    this.lastFeedNanos = clock.nowNanos();
  }

  /**
   * Records a child's renewals and demand and sends it the committed log after its applied index.
   * The first bundle subscribes the child; it is ignored if there are too many children.
   */
  void onBundle(RenewalBundle bundle, AppliedState state) {
    InetSocketAddress address =
        addresses.replyAddress(bundle.getInstance(), bundle.getReplyAddress()).orElse(null);
    boolean subscribed = children.containsKey(bundle.getInstance());
    if (address == null || (!subscribed && children.size() >= MAXIMUM_CHILDREN)) {
      return;
    }
    Child child = children.computeIfAbsent(bundle.getInstance(), id -> new Child(address));
    child.address = address;
    child.lastMessageNanos = clock.nowNanos();
    child.bundleSentAtNanos = bundle.getSentAtNanos();
    child.demand = AccountShares.toMap(bundle.getDemandList());
    child.pools = bundle.getPoolDemandList();
    lists = state.view().lists();
    // An index that has not advanced although more was sent means that a message was lost.
    boolean stalled = bundle.getAppliedIndex() == child.reportedIndex;
    boolean missing = stalled || bundle.getEntriesMissing();
    if (!subscribed || missing || bundle.getAppliedIndex() > child.sentIndex) {
      child.sentIndex = bundle.getAppliedIndex();
    }
    child.reportedIndex = bundle.getAppliedIndex();
    for (LeaseRenewal renewal : bundle.getRenewalsList()) {
      renewals.put(renewal.getInstance(), renewal);
      childOfInstance.put(renewal.getInstance(), bundle.getInstance());
    }
    if (!feedChild(child, state)) {
      sendCommands(child, List.of(), state.appliedIndex());
    }
  }

  /**
   * Sends the children the commands they lack and removes children that timed out. Commands that
   * are applied within the interval wait for a later call, so each tick calls this too.
   */
  void feed(AppliedState state) {
    long now = clock.nowNanos();
    long interval =
        state.lastPromptIndex() > lastFedIndex
            ? MINIMUM_FEED_INTERVAL_NANOS
            : USAGE_FEED_INTERVAL_NANOS;
    if (state.appliedIndex() == lastFedIndex || now - lastFeedNanos < interval) {
      return;
    }
    lastFedIndex = state.appliedIndex();
    lastFeedNanos = now;
    children.values().removeIf(child -> now - child.lastMessageNanos > CHILD_TIMEOUT_NANOS);
    childOfInstance.values().removeIf(child -> !children.containsKey(child));
    children.values().forEach(child -> feedChild(child, state));
  }

  boolean hasChildren() {
    return !children.isEmpty();
  }

  boolean hasRenewals() {
    return !renewals.isEmpty();
  }

  /** Returns and removes the renewals received since the last call. */
  Collection<LeaseRenewal> drainRenewals() {
    List<LeaseRenewal> drained = new ArrayList<>(renewals.values());
    renewals.clear();
    return drained;
  }

  /** Adds the children's demand by account, in tokens a second. */
  void addDemand(Map<String, Double> sum) {
    for (Child child : children.values()) {
      child.demand.forEach((account, tokens) -> sum.merge(account, tokens, Double::sum));
    }
  }

  /** Adds the children's demand by pool, one entry per child and pool. */
  void addPoolDemand(List<PoolDemand> demands) {
    children.values().forEach(child -> demands.addAll(child.pools));
  }

  /** Forwards each grant to the child that sent the renewal, with the total demand it needs. */
  void forwardGrants(GrantBundle bundle) {
    Map<String, GrantBundle.Builder> byChild = new HashMap<>();
    for (LeaseGrant grant : bundle.getGrantsList()) {
      Optional.ofNullable(childOfInstance.get(grant.getInstance()))
          .ifPresent(
              child ->
                  byChild
                      .computeIfAbsent(
                          child, id -> bundle.toBuilder().clearGrants().clearTotalDemand())
                      .addGrants(grant));
    }
    byChild.forEach(
        (id, childGrants) -> {
          Child child = children.get(id);
          if (child != null) {
            childGrants.addAllTotalDemand(
                DemandFilter.forChild(bundle.getTotalDemandList(), child.demand.keySet(), lists));
            send(child, FollowMessage.GRANTS, childGrants.build().toByteArray());
          }
        });
  }

  private boolean feedChild(Child child, AppliedState state) {
    if (child.sentIndex >= state.appliedIndex()) {
      return false;
    }
    Optional<List<LoggedCommand>> commands =
        state.commandsAfter(child.sentIndex, MAXIMUM_BATCH_BYTES);
    if (commands.isPresent()) {
      List<LoggedCommand> batch = commands.get();
      if (sendCommands(child, batch, state.appliedIndex())) {
        child.sentIndex = batch.get(batch.size() - 1).getIndex();
      }
      return true;
    }
    CommittedState fullState =
        CommittedState.newBuilder()
            .setAppliedIndex(state.appliedIndex())
            .setSnapshot(ByteString.copyFrom(state.snapshot()))
            .build();
    if (send(child, FollowMessage.STATE, fullState.toByteArray())) {
      child.sentIndex = state.appliedIndex();
    }
    return true;
  }

  private boolean sendCommands(Child child, List<LoggedCommand> commands, long appliedIndex) {
    CommittedCommands.Builder message =
        CommittedCommands.newBuilder()
            .addAllCommands(commands)
            .setAppliedIndex(appliedIndex)
            .setBundleSentAtNanos(child.bundleSentAtNanos);
    long now = clock.nowNanos();
    known.get().writeTo(message, now);
    leader.get().ifPresent(each -> message.setLeader(each.toNews(now)));
    return send(child, FollowMessage.COMMANDS, message.build().toByteArray());
  }

  private boolean send(Child child, FollowMessage message, byte[] body) {
    return transport.send(child.address, FollowMessage.SERVICE, message.kind(), body);
  }
}
