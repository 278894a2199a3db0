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
import java.util.function.LongSupplier;
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
 * Children of this process in the dissemination tree: sends them the committed log, gathers their
 * renewals and demand, and passes grants down. Used by one duty thread.
 */
final class ChildFeeds {

  private static final long CHILD_SILENCE_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final int MAXIMUM_BATCH_BYTES = 1024 * 1024;
  private static final int MAXIMUM_CHILDREN = 256;

  /**
   * Shortest time between two rounds of commands to the children. Each entry node commits usage
   * every second; passed on one by one, 84 nodes would mean as many messages a second to each.
   */
  private static final long FEED_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  private final PeerTransport transport;
  private final PeerAddresses addresses;
  private final MonotonicClock clock;
  private final LongSupplier rootAgeMillis;
  private final Map<String, Child> children = new HashMap<>();
  private final Map<String, LeaseRenewal> renewals = new LinkedHashMap<>();
  private final Map<String, String> childOfInstance = new HashMap<>();
  private ServingLists lists = ServingLists.EMPTY;
  private long fedIndex;
  private long nextFeedNanos;

  private static final class Child {
    InetSocketAddress address;
    long sentIndex;
    long reportedIndex = -1;
    long heardAtNanos;
    Map<String, Double> demand = Map.of();
    List<PoolDemand> pools = List.of();

    Child(InetSocketAddress address) {
      this.address = address;
    }
  }

  ChildFeeds(
      PeerTransport transport,
      PeerAddresses addresses,
      MonotonicClock clock,
      LongSupplier rootAgeMillis) {
    this.rootAgeMillis = rootAgeMillis;
    this.transport = transport;
    this.addresses = addresses;
    this.clock = clock;
    this.nextFeedNanos = clock.nowNanos();
  }

  /** Takes a child's bundle, which also subscribes the child from its applied index. */
  void onBundle(RenewalBundle bundle, AppliedState state) {
    InetSocketAddress address =
        addresses.reply(bundle.getInstance(), bundle.getReplyAddress()).orElse(null);
    boolean known = children.containsKey(bundle.getInstance());
    if (address == null || (!known && children.size() >= MAXIMUM_CHILDREN)) {
      return;
    }
    Child child = children.computeIfAbsent(bundle.getInstance(), id -> new Child(address));
    child.address = address;
    child.heardAtNanos = clock.nowNanos();
    child.demand = AccountShares.toMap(bundle.getDemandList());
    child.pools = bundle.getPoolDemandList();
    lists = state.view().lists();
    // The same index twice, although more was sent, means that a message was lost.
    boolean stuck = bundle.getAppliedIndex() == child.reportedIndex;
    if (!known || stuck || bundle.getAppliedIndex() > child.sentIndex) {
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
   * Sends all children what they lack and forgets silent ones. What comes within the interval after
   * a round waits for the next call, so this is also called on every tick.
   */
  void feed(AppliedState state) {
    long now = clock.nowNanos();
    if (state.appliedIndex() == fedIndex || now - nextFeedNanos < 0) {
      return;
    }
    fedIndex = state.appliedIndex();
    nextFeedNanos = now + FEED_INTERVAL_NANOS;
    children.values().removeIf(child -> now - child.heardAtNanos > CHILD_SILENCE_NANOS);
    childOfInstance.values().removeIf(child -> !children.containsKey(child));
    children.values().forEach(child -> feedChild(child, state));
  }

  boolean hasRenewals() {
    return !renewals.isEmpty();
  }

  /** Returns the renewals gathered since the last call. */
  Collection<LeaseRenewal> takeRenewals() {
    List<LeaseRenewal> taken = new ArrayList<>(renewals.values());
    renewals.clear();
    return taken;
  }

  /** Adds the children's demand to a sum. */
  void addDemand(Map<String, Double> sum) {
    for (Child child : children.values()) {
      child.demand.forEach((account, tokens) -> sum.merge(account, tokens, Double::sum));
    }
  }

  /** Adds the children's demand of pools to a list. */
  void addPoolDemand(List<PoolDemand> demands) {
    children.values().forEach(child -> demands.addAll(child.pools));
  }

  /** Passes each grant to the child that the renewal came from, with the demand it needs. */
  void passGrants(GrantBundle bundle) {
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
        (id, grants) -> {
          Child child = children.get(id);
          if (child != null) {
            grants.addAllTotalDemand(
                DemandFilter.forChild(bundle.getTotalDemandList(), child.demand.keySet(), lists));
            send(child, FollowMessage.GRANTS, grants.build().toByteArray());
          }
        });
  }

  private boolean feedChild(Child child, AppliedState state) {
    if (child.sentIndex >= state.appliedIndex()) {
      return false;
    }
    Optional<List<LoggedCommand>> commands = state.after(child.sentIndex, MAXIMUM_BATCH_BYTES);
    if (commands.isPresent()) {
      List<LoggedCommand> batch = commands.get();
      if (sendCommands(child, batch, state.appliedIndex())) {
        child.sentIndex = batch.get(batch.size() - 1).getIndex();
      }
      return true;
    }
    CommittedState whole =
        CommittedState.newBuilder()
            .setAppliedIndex(state.appliedIndex())
            .setSnapshot(ByteString.copyFrom(state.snapshot()))
            .build();
    if (send(child, FollowMessage.STATE, whole.toByteArray())) {
      child.sentIndex = state.appliedIndex();
    }
    return true;
  }

  private boolean sendCommands(Child child, List<LoggedCommand> commands, long appliedIndex) {
    CommittedCommands message =
        CommittedCommands.newBuilder()
            .addAllCommands(commands)
            .setAppliedIndex(appliedIndex)
            .setRootAgeMillis(rootAgeMillis.getAsLong())
            .build();
    return send(child, FollowMessage.COMMANDS, message.toByteArray());
  }

  private boolean send(Child child, FollowMessage message, byte[] body) {
    return transport.send(child.address, FollowMessage.SERVICE, message.kind(), body);
  }
}
