package org.teaseltrestle.node.replica;

import com.google.protobuf.ByteString;
import com.google.protobuf.UnsafeByteOperations;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.model.lists.ServingLists;
import org.teaseltrestle.transport.PeerTransport;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.CommittedState;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.LeaseGrant;
import org.teaseltrestle.wire.LeaseRenewal;
import org.teaseltrestle.wire.PoolDemand;
import org.teaseltrestle.wire.RenewalBundle;

/**
 * Children of this process in the dissemination tree: sends them the committed log, collects their
 * renewals and demand, and forwards grants to them. Used by one duty thread.
 */
final class ChildFeeds {

  private static final EventLog LOG = EventLog.of(ChildFeeds.class);

  private static final long CHILD_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(5);
  private static final int MAXIMUM_CHILDREN = 256;

  /** Children and nodes that only ask. */
  private static final int MAXIMUM_KNOWN_NODES = 1_024;

  /** Bytes of the committed log that all children may be sent and not have acknowledged. */
  private static final long MAXIMUM_UNACKNOWLEDGED_BYTES = 8L * 1024 * 1024;

  private static final long BUDGET_LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(5);

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
  private final FeedSource source = new FeedSource();
  private final FeedBudget budget = new FeedBudget(MAXIMUM_UNACKNOWLEDGED_BYTES);

  /** Children that wait for bytes of the budget, in the order in which they get them. */
  private final Set<Child> waiting = new LinkedHashSet<>();

  private ServingLists lists = ServingLists.EMPTY;
  private long lastFedIndex;
  private long lastFeedNanos;
  private long nextBudgetLogNanos;

  private static final class Child {
    final FeedWindow window;
    InetSocketAddress address;
    FeedForm form = FeedForm.WHOLE;

    /** Whether the child follows the log here; otherwise it has only asked for news. */
    boolean follows;

    long boot;
    long sentIndex;
    long reportedIndex = -1;
    long lastMessageNanos;

    /** State that the child receives before it can be sent commands. */
    @Nullable StateTransfer transfer;

    /** Part of a state that the child holds, from this parent or another one. */
    long heldStateIndex;

    long heldStateBytes;

    /** Time on the child's clock at which it sent its latest bundle. */
    long bundleSentAtNanos;

    Map<String, Double> demand = Map.of();
    List<PoolDemand> pools = List.of();

    Child(InetSocketAddress address, FeedBudget budget) {
      this.address = address;
      this.window = new FeedWindow(budget);
    }

    void stopFeed() {
      follows = false;
      transfer = null;
      window.clear();
      demand = Map.of();
      pools = List.of();
    }

    void restartFrom(long index) {
      sentIndex = index;
      window.clear();
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
    this.nextBudgetLogNanos = lastFeedNanos;
  }

  /**
   * Records a child's renewals and demand and sends it the committed log after its applied index,
   * as much as its window and the budget allow, or news. The first bundle subscribes the child; it
   * is ignored if there are too many children. A node that only asks is sent news.
   */
  void onBundle(RenewalBundle bundle, AppliedState state) {
    long now = clock.nowNanos();
    removeSilentChildren(now);
    InetSocketAddress address =
        addresses.replyAddress(bundle.getInstance(), bundle.getReplyAddress()).orElse(null);
    if (address == null || !mayTake(bundle)) {
      return;
    }
    Child child = children.computeIfAbsent(bundle.getInstance(), id -> new Child(address, budget));
    child.address = address;
    child.lastMessageNanos = now;
    child.bundleSentAtNanos = bundle.getSentAtNanos();
    for (LeaseRenewal renewal : bundle.getRenewalsList()) {
      renewals.put(renewal.getInstance(), renewal);
      childOfInstance.put(renewal.getInstance(), bundle.getInstance());
    }
    lists = state.view().lists();
    if (bundle.getAsks()) {
      child.stopFeed();
      sendNews(child, state);
      return;
    }
    child.demand = AccountShares.toMap(bundle.getDemandList());
    child.pools = bundle.getPoolDemandList();
    recordProgress(child, bundle, now);
    feedWaiting(state);
    boolean sent = feedChild(child, state);
    if (!sent || child.transfer != null) {
      sendNews(child, state);
    }
  }

  private boolean mayTake(RenewalBundle bundle) {
    Child known = children.get(bundle.getInstance());
    if (known == null && children.size() >= MAXIMUM_KNOWN_NODES) {
      return false;
    }
    boolean follows = known != null && known.follows;
    return follows
        || bundle.getAsks()
        || children.values().stream().filter(each -> each.follows).count() < MAXIMUM_CHILDREN;
  }

  /** Records what a child has received, and what must be sent to it again. */
  private void recordProgress(Child child, RenewalBundle bundle, long nowNanos) {
    final boolean wasFed = child.follows && child.boot == bundle.getBoot();
    final boolean stalled = bundle.getAppliedIndex() == child.reportedIndex;
    final boolean wentBack = bundle.getAppliedIndex() < child.reportedIndex;
    child.follows = true;
    child.boot = bundle.getBoot();
    child.form = bundle.getReadsDifferences() ? FeedForm.DIFFERENCES : FeedForm.WHOLE;
    child.reportedIndex = bundle.getAppliedIndex();
    child.heldStateIndex = bundle.getStateIndex();
    child.heldStateBytes = bundle.getStateBytes();
    StateTransfer transfer = child.transfer;
    boolean progress =
        child.window.acknowledged(
            transfer == null ? bundle.getAppliedIndex() : heldBytesOf(child, transfer));
    if (!wasFed || wentBack || bundle.getAppliedIndex() > child.sentIndex) {
      child.transfer = null;
      child.restartFrom(bundle.getAppliedIndex());
    } else if (transfer != null) {
      if (progress) {
        transfer.progressed(nowNanos);
      }
      recordTransfer(child, transfer, bundle, nowNanos);
    } else if (bundle.getEntriesMissing() || (stalled && child.form == FeedForm.WHOLE)) {
      // An earlier version whose index has not advanced although more was sent has lost a message.
      child.restartFrom(bundle.getAppliedIndex());
    }
  }

  private static void recordTransfer(
      Child child, StateTransfer transfer, RenewalBundle bundle, long nowNanos) {
    if (bundle.getAppliedIndex() >= transfer.index() || child.form == FeedForm.WHOLE) {
      child.transfer = null;
      child.restartFrom(bundle.getAppliedIndex());
    } else if (bundle.getEntriesMissing() || transfer.isStalled(nowNanos)) {
      child.window.clear();
      transfer.resumeFrom(heldBytesOf(child, transfer), nowNanos);
    }
  }

  private static long heldBytesOf(Child child, StateTransfer transfer) {
    return child.heldStateIndex == transfer.index() ? child.heldStateBytes : 0;
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
    removeSilentChildren(now);
    feedWaiting(state);
    children.values().forEach(child -> feedChild(child, state));
  }

  private void removeSilentChildren(long nowNanos) {
    List<Child> silent =
        children.values().stream()
            .filter(child -> nowNanos - child.lastMessageNanos > CHILD_TIMEOUT_NANOS)
            .toList();
    if (silent.isEmpty()) {
      return;
    }
    silent.forEach(Child::stopFeed);
    silent.forEach(waiting::remove);
    children.values().removeAll(silent);
    childOfInstance.values().removeIf(child -> !children.containsKey(child));
  }

  /** Returns the bytes that count for the budget of this process. */
  long unacknowledgedBytes() {
    return budget.used();
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
            send(child, FollowMessage.GRANTS, childGrants.build().toByteString());
          }
        });
  }

  /** Feeds the children that wait for bytes of the budget, until it is used up again. */
  private void feedWaiting(AppliedState state) {
    List<Child> inTurn = new ArrayList<>(waiting);
    waiting.clear();
    inTurn.forEach(child -> feedChild(child, state));
  }

  /** Sends a child what it lacks, as far as there is room; returns whether anything was sent. */
  private boolean feedChild(Child child, AppliedState state) {
    boolean sent = false;
    while (child.follows && child.sentIndex < state.appliedIndex() && sendNext(child, state)) {
      sent = true;
    }
    return sent;
  }

  private boolean sendNext(Child child, AppliedState state) {
    StateTransfer transfer = child.transfer;
    if (transfer != null) {
      return sendPart(child, transfer);
    }
    Optional<FeedSource.Batch> next = source.batchAfter(state, child.sentIndex, child.form);
    if (next.isPresent()) {
      return sendBatch(child, next.get(), state);
    }
    if (child.form == FeedForm.WHOLE) {
      return sendWholeState(child, state);
    }
    long now = clock.nowNanos();
    StateTransfer started = new StateTransfer(source.encodedState(state), now);
    started.resumeFrom(heldBytesOf(child, started), now);
    child.window.clear();
    child.transfer = started;
    return sendPart(child, started);
  }

  private boolean sendBatch(Child child, FeedSource.Batch batch, AppliedState state) {
    int bytes = batch.encoded().size();
    if (!hasRoom(child, bytes)) {
      return false;
    }
    // The fields of concatenated messages are merged, so the entries are encoded once for all.
    ByteString fields = fields(child, batch.lastIndex(), state).build().toByteString();
    if (!send(child, FollowMessage.COMMANDS, batch.encoded().concat(fields))) {
      return false;
    }
    child.window.sent(batch.lastIndex(), bytes, clock.nowNanos());
    child.sentIndex = batch.lastIndex();
    return true;
  }

  private boolean sendPart(Child child, StateTransfer transfer) {
    if (transfer.isSent() || !hasRoom(child, transfer.nextPartBytes())) {
      return false;
    }
    if (!send(child, FollowMessage.STATE_PART, transfer.nextPart().toByteString())) {
      return false;
    }
    child.window.sent(transfer.nextOffset(), transfer.nextPartBytes(), clock.nowNanos());
    transfer.partSent();
    return true;
  }

  private boolean sendWholeState(Child child, AppliedState state) {
    byte[] snapshot = state.snapshot();
    if (!hasRoom(child, snapshot.length)) {
      return false;
    }
    CommittedState fullState =
        CommittedState.newBuilder()
            .setAppliedIndex(state.appliedIndex())
            .setSnapshot(UnsafeByteOperations.unsafeWrap(snapshot))
            .build();
    if (!send(child, FollowMessage.STATE, fullState.toByteString())) {
      return false;
    }
    child.window.sent(state.appliedIndex(), snapshot.length, clock.nowNanos());
    child.sentIndex = state.appliedIndex();
    return true;
  }

  /** Returns whether a message may be sent now; a child that waits for the budget is noted. */
  private boolean hasRoom(Child child, int bytes) {
    // What a child does not acknowledge by itself must not keep a larger message from it.
    boolean waitsForChild = child.window.bytes() >= FeedForm.ACKNOWLEDGED_BYTES;
    if (waitsForChild && !child.window.hasRoom(bytes, child.form.windowBytes())) {
      return false;
    }
    if (budget.hasRoom(bytes)) {
      return true;
    }
    long now = clock.nowNanos();
    children.values().forEach(each -> each.window.releaseOverdue(now));
    if (budget.hasRoom(bytes)) {
      return true;
    }
    waiting.add(child);
    if (now - nextBudgetLogNanos >= 0) {
      nextBudgetLogNanos = now + BUDGET_LOG_INTERVAL_NANOS;
      LOG.warn(
          ReplicaEvent.FEED_BUDGET_USED,
          "unacknowledgedBytes",
          budget.used(),
          "children",
          children.size(),
          "waiting",
          waiting.size());
    }
    return false;
  }

  private void sendNews(Child child, AppliedState state) {
    StateTransfer transfer = child.transfer;
    long sentIndex = transfer != null && transfer.isSent() ? transfer.index() : child.sentIndex;
    send(child, FollowMessage.COMMANDS, fields(child, sentIndex, state).build().toByteString());
  }

  /** Returns a message without commands. */
  private CommittedCommands.Builder fields(Child child, long sentIndex, AppliedState state) {
    CommittedCommands.Builder message =
        CommittedCommands.newBuilder()
            .setAppliedIndex(state.appliedIndex())
            .setSentIndex(sentIndex)
            .setBundleSentAtNanos(child.bundleSentAtNanos);
    long now = clock.nowNanos();
    known.get().writeTo(message, now);
    leader.get().ifPresent(each -> message.setLeader(each.toNews(now)));
    return message;
  }

  private boolean send(Child child, FollowMessage message, ByteString body) {
    return transport.send(child.address, FollowMessage.SERVICE, message.kind(), body);
  }
}
