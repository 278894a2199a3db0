package org.teaseltrestle.node.replica;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.node.settings.VoterSettings;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.CommittedCommands;
import org.teaseltrestle.wire.CommittedState;
import org.teaseltrestle.wire.CommittedStatePart;
import org.teaseltrestle.wire.Envelope;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.LoggedCommand;
import org.teaseltrestle.wire.RenewalBundle;

/**
 * Control plane of a non-voter: receives the committed log from its parent in the dissemination
 * tree and sends it to its own children, sends renewals to the parent and forwards grants to the
 * children.
 */
public final class FollowService implements ControlPlane {

  private static final EventLog LOG = EventLog.of(FollowService.class);
  private static final int RING_CAPACITY = 1_024;
  private static final long BUSY_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

  private static final long IDLE_TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

  /** Added to the time of a timeout, which must have passed at the tick. */
  private static final long TIMEOUT_MARGIN_NANOS = TimeUnit.MILLISECONDS.toNanos(1);

  private static final long CANDIDATES_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(2);

  private final ControlPlaneSettings settings;
  private final ControlPlaneContext context;
  private final AppliedState state = new AppliedState();
  private final PeerAddresses addresses;
  private final LeaderCalls leaderCalls;
  private final LeaderClient leader;
  private final Readiness readiness;
  private final KeyLease lease;
  private final ChildFeeds children;
  private final LeaseRenewer leaseRenewer;
  private final ParentSelector parentSelector;
  private final GapDetector gapDetector;
  private final DutyThread<Runnable> duty;
  private final DutyInbox inbox;
  private final FollowerKnowledge knowledge = new FollowerKnowledge();

  /** What this node knows whatever time messages take; it decides what is refused for good. */
  private final FollowerKnowledge provenKnowledge = new FollowerKnowledge();

  private final long startNanos;
  private final KnowledgeWatch knowledgeWatch;
  private @Nullable KnownLeader heardLeader;
  private long publishedIndex;
  private long reportedConfigurationIndex;
  private List<VoterSettings> namedVoters;
  private long nextCandidatesNanos;
  private int unacknowledgedBytes;

  /** Nodes that may still send the committed log although another one is the parent. */
  private final Set<String> formerParents = new HashSet<>();

  private volatile ControlStatus status = new ControlStatus("following", 0, "", List.of(), 0, 0);

  /** Creates the service; {@link #start()} starts it. */
  public FollowService(ControlPlaneSettings settings, ControlPlaneContext context) {
    this.settings = settings;
    this.context = context;
    this.addresses = new PeerAddresses(settings);
    this.namedVoters = settings.voters();
    this.leaderCalls =
        new LeaderCalls(settings, context.transport(), addresses, context.clock(), null);
    this.leader = new LeaderClient(leaderCalls, context.clock());
    this.lease = new KeyLease(settings, context.clock());
    long now = context.clock().nowNanos();
    this.startNanos = now;
    this.nextCandidatesNanos = now;
    this.parentSelector = new ParentSelector(settings.tree(), now);
    this.gapDetector = new GapDetector(now);
    this.knowledgeWatch = new KnowledgeWatch(settings.tree().rootTimeoutNanos());
    this.children =
        new ChildFeeds(
            context.transport(), addresses, context.clock(), knowledge::known, this::recentLeader);
    this.leaseRenewer =
        new LeaseRenewer(
            settings,
            LeaseRenewer.Subscription.COMMITTED_LOG,
            lease,
            new AccountShares(context.demand(), context.shares(), context.clock()),
            children,
            now);
    this.duty =
        new DutyThread<>(
            "follow",
            RING_CAPACITY,
            Runnable::run,
            this::tick,
            this::nextTickNanos,
            context.clock());
    this.inbox = new DutyInbox(duty::offer);
    this.readiness = new Readiness(leader, inbox::offer);
  }

  /** Registers the message handler and starts the duty thread. */
  public void start() {
    context.messageHandlers().handle(FollowMessage.SERVICE, (message, reply) -> onMessage(message));
    duty.start();
  }

  @Override
  public ControlView view() {
    return state.view();
  }

  @Override
  public CompletableFuture<CommandAnswer> propose(Command command) {
    return leader.propose(command);
  }

  @Override
  public boolean isReady() {
    return readiness.isReady();
  }

  @Override
  public OptionalLong knownAsOfNanos() {
    return provenKnowledge.known().asOfNanos();
  }

  @Override
  public long keyLeaseEndsAtNanos() {
    return lease.endsAtNanos();
  }

  @Override
  public Optional<Authority> authority() {
    return Optional.empty();
  }

  @Override
  public CompletableFuture<Long> confirmedIndex() {
    return leader.confirmedIndex();
  }

  @Override
  public CompletableFuture<List<String>> awaitedInstances(long index) {
    return leader.awaitedInstances(index);
  }

  @Override
  public CompletableFuture<WithdrawalReport> withdrawalReport(long index) {
    return leader.withdrawalReport(index);
  }

  @Override
  public void nameVoters(List<VoterSettings> voters) {
    inbox.offer(
        0,
        () -> {
          namedVoters = List.copyOf(voters);
          addresses.nameVoters(voters);
          nextCandidatesNanos = context.clock().nowNanos();
        });
  }

  @Override
  public ControlStatus status() {
    return status;
  }

  @Override
  public void close() {
    duty.close();
    leaderCalls.close();
  }

  private long nextTickNanos(long lastTickNanos) {
    boolean busy = !readiness.isReady() || children.hasChildren();
    long regular = lastTickNanos + (busy ? BUSY_TICK_NANOS : IDLE_TICK_NANOS);
    long renewal = leaseRenewer.nextOwnRenewalNanos();
    long parentUpdate = parentSelector.nextUpdateNanos() + TIMEOUT_MARGIN_NANOS;
    boolean renews = !parentSelector.parent().isEmpty();
    long earlier = renews && renewal - regular < 0 ? renewal : regular;
    return parentUpdate - earlier < 0 ? parentUpdate : earlier;
  }

  private void tick(long nowNanos) {
    updateCandidatesIfDue(nowNanos);
    updateParent(nowNanos);
    if (leaseRenewer.isDue(nowNanos) && !parentSelector.parent().isEmpty()) {
      sendBundle(nowNanos);
    }
    readiness.tick(state.appliedIndex());
    children.feed(state);
    watchKnowledge(nowNanos);
    status =
        new ControlStatus(
            "following",
            0,
            parentSelector.parent(),
            List.of(),
            state.appliedIndex(),
            inbox.dropped());
  }

  private void updateCandidatesIfDue(long nowNanos) {
    if (nowNanos - nextCandidatesNanos >= 0) {
      nextCandidatesNanos = nowNanos + CANDIDATES_INTERVAL_NANOS;
      parentSelector.setCandidates(
          TreePlacement.parents(
              settings.instance(),
              settings.failureDomain(),
              namedVoters,
              settings.tree().fanOut(),
              state.view()),
          TreePlacement.acquaintances(settings.instance(), settings.failureDomain(), state.view()));
    }
  }

  private void updateParent(long nowNanos) {
    String earlierParent = parentSelector.parent();
    ParentSelector.Decision decision = parentSelector.update(state.appliedIndex(), nowNanos);
    if (decision.parentChanged()) {
      leaseRenewer.makeDueNow(nowNanos);
      if (!earlierParent.isEmpty()) {
        formerParents.add(earlierParent);
      }
    }
    decision.asked().forEach(each -> send(each, leaseRenewer.question(state, nowNanos)));
  }

  /** Ends the feeds of former parents, now that the parent sends the committed log. */
  private void leaveFormerParents(long nowNanos) {
    formerParents.remove(parentSelector.parent());
    formerParents.forEach(each -> send(each, leaseRenewer.question(state, nowNanos)));
    formerParents.clear();
  }

  private void receivedFromParent(int bytes, long nowNanos) {
    if (!formerParents.isEmpty()) {
      leaveFormerParents(nowNanos);
    }
    unacknowledgedBytes += bytes;
    if (unacknowledgedBytes >= FeedForm.ACKNOWLEDGED_BYTES) {
      sendBundle(nowNanos);
    }
  }

  private void sendBundle(long nowNanos) {
    unacknowledgedBytes = 0;
    send(parentSelector.parent(), leaseRenewer.bundle(state, nowNanos));
  }

  private void send(String instance, RenewalBundle bundle) {
    addresses
        .find(instance)
        .ifPresent(
            address ->
                context
                    .transport()
                    .send(
                        address,
                        FollowMessage.SERVICE,
                        FollowMessage.RENEWALS.kind(),
                        bundle.toByteArray()));
  }

  private void onMessage(Envelope message) {
    String sender = message.getSenderInstance();
    FollowMessage kind = FollowMessage.of(message.getKind()).orElse(null);
    if (kind == null) {
      return;
    }
    int bytes = message.getBody().size();
    switch (kind) {
      case RENEWALS -> {
        RenewalBundle bundle = MessageHandlerRegistry.parse(message, RenewalBundle.parser());
        inbox.offer(bytes, () -> children.onBundle(bundle, state));
      }
      case COMMANDS -> {
        CommittedCommands commands =
            MessageHandlerRegistry.parse(message, CommittedCommands.parser());
        // News does not become younger while it waits for the duty thread.
        long arrivedAtNanos = context.clock().nowNanos();
        inbox.offer(bytes, () -> onCommands(sender, commands, arrivedAtNanos));
      }
      case STATE_PART -> {
        CommittedStatePart part =
            MessageHandlerRegistry.parse(message, CommittedStatePart.parser());
        inbox.offer(bytes, () -> onStatePart(sender, part));
      }
      case STATE -> {
        CommittedState fullState = MessageHandlerRegistry.parse(message, CommittedState.parser());
        inbox.offer(bytes, () -> onState(sender, fullState));
      }
      case GRANTS -> {
        GrantBundle grants = MessageHandlerRegistry.parse(message, GrantBundle.parser());
        inbox.offer(bytes, () -> onGrants(sender, grants));
      }
      default -> throw new IllegalArgumentException(kind.name());
    }
  }

  private void onCommands(String sender, CommittedCommands message, long arrivedAtNanos) {
    long now = context.clock().nowNanos();
    KnownState news = KnownState.received(message, arrivedAtNanos);
    parentSelector.newsReceived(sender, news, now);
    KnownLeader.received(message, arrivedAtNanos)
        .filter(each -> !each.isOlderThan(settings.tree().rootTimeoutNanos(), now))
        .ifPresent(each -> leaderHeard(each, sender));
    apply(message.getCommandsList());
    knowledge.received(news, state.appliedIndex());
    provenKnowledge.received(
        KnownState.proven(message, startNanos, arrivedAtNanos), state.appliedIndex());
    watchKnowledge(now);
    if (sender.equals(parentSelector.parent())) {
      // An earlier version takes a bundle without progress for a loss.
      receivedFromParent(message.hasSentIndex() ? message.getSerializedSize() : 0, now);
      requestMissing(message, now);
    }
    publishApplied();
    updateParent(now);
  }

  private void requestMissing(CommittedCommands message, long nowNanos) {
    if (gapDetector.requestsMissing(message, state.appliedIndex(), nowNanos)) {
      LOG.warn(
          ReplicaEvent.ENTRIES_MISSING,
          "appliedIndex",
          state.appliedIndex(),
          "announcedIndex",
          message.getAppliedIndex(),
          "sentIndex",
          message.getSentIndex(),
          "stateIndex",
          leaseRenewer.heldState().index(),
          "stateBytes",
          leaseRenewer.heldState().receivedBytes(),
          "parent",
          parentSelector.parent());
      leaseRenewer.requestMissingEntries(nowNanos);
    } else if (!message.getCommandsList().isEmpty()
        && state.appliedIndex() < message.getAppliedIndex()) {
      leaseRenewer.makeDueNow(nowNanos);
    }
  }

  private void onGrants(String sender, GrantBundle grants) {
    leaseRenewer.applyGrants(grants);
    grants.getGrantsList().stream()
        .filter(lease::isForThisProcess)
        .forEach(each -> parentSelector.renewalAnswered(sender, each.getSentAtNanos()));
    updateParent(context.clock().nowNanos());
  }

  private void leaderHeard(KnownLeader news, String sender) {
    KnownLeader earlier = heardLeader;
    if (earlier != null && !news.isNewsAfter(earlier)) {
      return;
    }
    heardLeader = news;
    if (earlier == null || news.term() > earlier.term()) {
      LOG.info(
          ReplicaEvent.LEADER_HEARD,
          "leader",
          news.instance(),
          "term",
          news.term(),
          "parent",
          sender);
    }
    leaderCalls.heard(news);
  }

  /** Returns the leader that the children may be told of. */
  private Optional<KnownLeader> recentLeader() {
    long now = context.clock().nowNanos();
    return Optional.ofNullable(heardLeader)
        .filter(each -> !each.isOlderThan(settings.tree().rootTimeoutNanos(), now));
  }

  private void watchKnowledge(long nowNanos) {
    knowledgeWatch.update(
        knowledge.known(), parentSelector.parent(), state.appliedIndex(), nowNanos);
  }

  /** Applies the next commands in order. */
  private void apply(List<LoggedCommand> commands) {
    try {
      for (LoggedCommand command : commands) {
        if (command.getIndex() == state.appliedIndex() + 1 && !applyNext(command)) {
          break;
        }
      }
    } finally {
      state.publish();
    }
  }

  /** Applies the next command; returns whether it could be read. */
  private boolean applyNext(LoggedCommand command) {
    try {
      state.apply(command);
      return true;
    } catch (TrestleException e) {
      if (!command.hasDifference() || e.code() != ErrorCode.DATA_CORRUPTED) {
        throw e;
      }
      LOG.error(ReplicaEvent.DIFFERENCE_UNREADABLE, e, "appliedIndex", state.appliedIndex());
      long now = context.clock().nowNanos();
      leaseRenewer.readWhole(command.getIndex());
      if (gapDetector.takeRequest(now)) {
        leaseRenewer.requestMissingEntries(now);
      }
      return false;
    }
  }

  private void onState(String sender, CommittedState message) {
    parentSelector.messageReceived(sender, context.clock().nowNanos());
    restore(message.getAppliedIndex(), message.getSnapshot().toByteArray());
  }

  private void onStatePart(String sender, CommittedStatePart part) {
    long now = context.clock().nowNanos();
    parentSelector.messageReceived(sender, now);
    if (!sender.equals(parentSelector.parent()) || part.getAppliedIndex() <= state.appliedIndex()) {
      return;
    }
    StateAssembly held = leaseRenewer.heldState();
    switch (held.add(part)) {
      case COMPLETE -> {
        byte[] snapshot = held.take().orElse(null);
        if (snapshot == null) {
          LOG.warn(ReplicaEvent.MALFORMED_MESSAGE, "kind", FollowMessage.STATE_PART);
          requestRestOfState(now);
        } else {
          restore(part.getAppliedIndex(), snapshot);
        }
      }
      case GAP -> requestRestOfState(now);
      default -> receivedFromParent(part.getContent().size(), now);
    }
  }

  private void requestRestOfState(long nowNanos) {
    if (gapDetector.takeRequest(nowNanos)) {
      leaseRenewer.requestMissingEntries(nowNanos);
    }
  }

  private void restore(long index, byte[] snapshot) {
    long now = context.clock().nowNanos();
    if (index > state.appliedIndex()) {
      state.restore(index, snapshot);
      LOG.info(ReplicaEvent.STATE_RESTORED, "index", index);
      leaseRenewer.makeDueNow(now);
    }
    knowledge.applied(state.appliedIndex());
    provenKnowledge.applied(state.appliedIndex());
    publishApplied();
    updateParent(now);
  }

  private void publishApplied() {
    if (state.appliedIndex() > publishedIndex) {
      publishedIndex = state.appliedIndex();
      addresses.update(state.view());
    }
    long configurationIndex = state.view().servingDocument().changedIndex();
    if (configurationIndex > reportedConfigurationIndex) {
      reportedConfigurationIndex = configurationIndex;
      leaseRenewer.reportPromptly(context.clock().nowNanos());
    }
    children.feed(state);
  }
}
