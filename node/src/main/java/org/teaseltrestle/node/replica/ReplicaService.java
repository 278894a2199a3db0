package org.teaseltrestle.node.replica;

import java.net.InetSocketAddress;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.teaseltrestle.consensus.RaftAction;
import org.teaseltrestle.consensus.RaftCore;
import org.teaseltrestle.consensus.RaftEnvelope;
import org.teaseltrestle.consensus.RaftEvent;
import org.teaseltrestle.consensus.RaftRole;
import org.teaseltrestle.consensus.RecoverySummary;
import org.teaseltrestle.consensus.ReplicaStorage;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.kernel.DutyThread;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.LeaderAnswer;
import org.teaseltrestle.wire.PoolDemand;
import org.teaseltrestle.wire.RenewalBundle;

/**
 * Control plane of a voter: one duty thread runs the Raft core and its storage, applies committed
 * commands and serves proposals, confirmations and the children of this node. A failure, such as
 * that of the storage, stops it: it is then unknown which writes were stored, so that only a new
 * service, created from what the storage holds, may vote again. The stop listener is called once.
 */
public final class ReplicaService implements ControlPlane {

  private static final EventLog LOG = EventLog.of(ReplicaService.class);
  private static final int RING_CAPACITY = 4_096;
  private static final int MAXIMUM_PENDING_ACTIONS = 1_024;
  private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(40);

  private final ControlPlaneSettings settings;
  private final ControlPlaneContext context;
  private final RandomGenerator random;
  private final ReplicaStorage storage;
  private final Runnable stopListener;
  private final AppliedState state = new AppliedState();
  private final PeerAddresses addresses;
  private final ReplicaDriver driver;
  private final LeaderAuthority authority;
  private final LeaderOperations leaderOperations;
  private final LeaderCalls leaderCalls;
  private final LeaderClient leader;
  private final Readiness readiness;
  private final KeyLease lease;
  private final ChildFeeds children;
  private final LeaseRenewer leaseRenewer;
  private final DutyThread<Runnable> duty;
  private final DutyInbox inbox;
  private long publishedIndex;
  private long reportedConfigurationIndex;
  private volatile KnownState known = KnownState.UNKNOWN;
  private final KnowledgeWatch knowledgeWatch;
  private volatile boolean stopped;
  private volatile ControlStatus status = new ControlStatus("follower", 0, "", List.of(), 0, 0);

  /**
   * Creates the service, which owns the storage from then on; {@link #start()} starts it.
   *
   * @param random source of election jitter
   * @param stopListener called on the duty thread after the replica has stopped because of a
   *     failure
   */
  public ReplicaService(
      ControlPlaneSettings settings,
      ControlPlaneContext context,
      ReplicaStorage storage,
      RandomGenerator random,
      Runnable stopListener) {
    this.settings = settings;
    this.context = context;
    this.random = random;
    this.storage = storage;
    this.stopListener = stopListener;
    this.addresses = new PeerAddresses(settings);
    RaftCore core =
        new RaftCore(
            storage.identity(),
            settings.raftSettings(),
            storage.recovered(),
            context.clock().nowNanos());
    this.driver =
        new ReplicaDriver(core, storage, state, context.clock(), this::transmit, this::roleChanged);
    storage.releaseRecovered();
    this.authority = new LeaderAuthority(settings, driver, context.clock(), context.wallClock());
    this.leaderOperations =
        new LeaderOperations(
            settings, driver, state, authority, context.clock(), context.wallClock());
    this.leaderCalls =
        new LeaderCalls(
            settings, context.transport(), addresses, context.clock(), this::serveLocally);
    this.leader = new LeaderClient(leaderCalls, context.clock());
    this.lease = new KeyLease(settings, context.clock());
    this.children =
        new ChildFeeds(
            context.transport(), addresses, context.clock(), () -> known, this::recentLeader);
    this.leaseRenewer =
        new LeaseRenewer(
            settings,
            LeaseRenewer.Subscription.NONE,
            lease,
            new AccountShares(context.demand(), context.shares(), context.clock()),
            children,
            context.clock().nowNanos());
    this.duty =
        new DutyThread<>(
            "replica", RING_CAPACITY, this::run, this::tick, TICK_NANOS, context.clock());
    this.inbox = new DutyInbox(duty::offer);
    this.readiness = new Readiness(leader, inbox::offer);
    this.knowledgeWatch = new KnowledgeWatch(settings.tree().rootTimeoutNanos());
  }

  /** Registers the message handlers and starts the duty thread. */
  public void start() {
    RecoverySummary found = storage.recoverySummary();
    LOG.info(
        ReplicaEvent.REPLICA_OPENED,
        "replica",
        storage.identity(),
        "term",
        found.term(),
        "snapshotIndex",
        found.snapshotIndex(),
        "lastIndex",
        found.lastIndex(),
        "truncatedBytes",
        found.truncatedBytes(),
        "syncedBytes",
        found.syncedBytes());
    new ReplicaMessageHandler(
            settings, inbox, driver, leaderOperations, leaseRenewer, this::isStopped)
        .register(context.messageHandlers(), this::onBundle);
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
    return known.asOfNanos();
  }

  @Override
  public long keyLeaseEndsAtNanos() {
    return lease.endsAtNanos();
  }

  @Override
  public Optional<Authority> authority() {
    return authority.current();
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
  public ControlStatus status() {
    return status;
  }

  /** Returns whether the replica has stopped after a failure or was closed. */
  public boolean isStopped() {
    return stopped;
  }

  @Override
  public List<PoolDemand> poolDemand() {
    return leaderOperations.poolDemand();
  }

  @Override
  public void retireRemovedInstances(Set<String> instances) {
    inbox.offer(() -> leaderOperations.retire(Set.copyOf(instances)));
  }

  @Override
  public void close() {
    stopped = true;
    duty.close();
    leaderCalls.close();
    driver.failPendingRequests();
    storage.close();
  }

  private void run(Runnable task) {
    runOrStop(
        () -> {
          task.run();
          // Events that are already queued share the next sync.
          if (duty.backlog() == 0 || driver.pendingActions() > MAXIMUM_PENDING_ACTIONS) {
            flushAndPublish();
          }
        });
  }

  private void tick(long nowNanos) {
    runOrStop(
        () -> {
          driver.handle(new RaftEvent.Tick(random.nextDouble()));
          flushAndPublish();
          if (leaseRenewer.isDue(nowNanos)) {
            sendRenewals(leaseRenewer.bundle(state, nowNanos));
          }
          readiness.tick(state.appliedIndex());
          leaderOperations.recordVotersIfChanged();
          flushAndPublish();
        });
  }

  private void flushAndPublish() {
    driver.flush();
    authority.update();
    driver.flush();
    if (state.appliedIndex() > publishedIndex) {
      publishedIndex = state.appliedIndex();
      addresses.update(state.view());
    }
    long configurationIndex = state.view().servingDocument().changedIndex();
    if (configurationIndex > reportedConfigurationIndex) {
      reportedConfigurationIndex = configurationIndex;
      leaseRenewer.reportPromptly(context.clock().nowNanos());
    }
    updateKnown();
    children.feed(state);
    publishStatus();
  }

  private void sendRenewals(RenewalBundle bundle) {
    ReplicaId currentLeader = driver.core().leader();
    if (driver.core().role() == RaftRole.LEADER) {
      leaseRenewer.applyGrants(leaderOperations.renew(bundle));
    } else if (currentLeader != null) {
      addresses
          .find(currentLeader.instance())
          .ifPresent(address -> send(address, FollowMessage.RENEWALS, bundle.toByteArray()));
    }
  }

  private void runOrStop(Runnable task) {
    if (stopped) {
      return;
    }
    try {
      task.run();
    } catch (RuntimeException e) {
      // Closing interrupts a write in progress.
      if (!stopped) {
        stopAfterFailure(e);
      }
    }
  }

  /** Stops voting: after a failure it is unknown which writes were stored. */
  private void stopAfterFailure(RuntimeException failure) {
    stopped = true;
    LOG.error(ReplicaEvent.REPLICA_STOPPED, failure, "cause", String.valueOf(failure));
    driver.failPendingRequests();
    try {
      storage.close();
    } catch (TrestleException e) {
      LOG.warn(ReplicaEvent.REPLICA_STOPPED, e, "code", e.code());
    }
    stopListener.run();
  }

  private void roleChanged(RaftAction.RoleChanged change) {
    LOG.info(
        ReplicaEvent.ROLE_CHANGED,
        "role",
        change.role(),
        "term",
        change.term(),
        "leader",
        String.valueOf(change.leader()));
    ReplicaId newLeader = change.leader();
    if (newLeader == null) {
      leaderCalls.leaderLost();
    } else {
      leaderCalls.heard(
          new KnownLeader(newLeader.instance().value(), change.term(), context.clock().nowNanos()));
    }
    if (change.role() == RaftRole.LEADER) {
      authority.onElected();
      leaderOperations.onElected();
    } else {
      leaderOperations.onLeadershipLost();
    }
  }

  private void updateKnown() {
    OptionalLong committedKnownAtNanos = driver.core().committedKnownAtNanos();
    known = known.newerOf(new KnownState(state.appliedIndex(), committedKnownAtNanos));
    knowledgeWatch.update(known, status.leader(), state.appliedIndex(), context.clock().nowNanos());
  }

  /** Returns the leader that the children may be told of. */
  private Optional<KnownLeader> recentLeader() {
    ReplicaId currentLeader = driver.core().leader();
    long now = context.clock().nowNanos();
    if (currentLeader == null || known.isOlderThan(settings.tree().rootTimeoutNanos(), now)) {
      return Optional.empty();
    }
    long asOfNanos = known.asOfNanos().orElse(now);
    return Optional.of(
        new KnownLeader(currentLeader.instance().value(), driver.core().term(), asOfNanos));
  }

  private void publishStatus() {
    RaftCore core = driver.core();
    ReplicaId currentLeader = core.leader();
    String name = currentLeader == null ? "" : currentLeader.instance().value();
    List<ReplicaId> voters = core.configuration().voters();
    String role = core.role().name().toLowerCase(Locale.ROOT);
    if (!status.role().equals(role)
        || status.term() != core.term()
        || !status.leader().equals(name)
        || !status.voters().equals(voters)
        || status.appliedIndex() != state.appliedIndex()) {
      status =
          new ControlStatus(role, core.term(), name, voters, state.appliedIndex(), inbox.dropped());
    }
  }

  private void transmit(RaftEnvelope envelope) {
    addresses
        .find(envelope.instance())
        .ifPresent(
            address ->
                context
                    .transport()
                    .send(
                        address,
                        ReplicaMessageHandler.RAFT_SERVICE,
                        0,
                        RaftWireCodec.encode(envelope)));
  }

  private void serveLocally(LeaderRequest request, byte[] body, Consumer<LeaderAnswer> reply) {
    boolean accepted =
        !stopped && inbox.offer(body.length, () -> leaderOperations.handle(request, body, reply));
    if (!accepted) {
      // A caller does not retry a refusal for overload.
      RaftAction.Refusal refusal =
          stopped ? RaftAction.Refusal.NOT_LEADER : RaftAction.Refusal.OVERLOADED;
      reply.accept(LeaderAnswers.refused(refusal, null));
    }
  }

  private void onBundle(RenewalBundle bundle) {
    if (bundle.getFollows()) {
      children.onBundle(bundle, state);
      return;
    }
    GrantBundle grants = leaderOperations.renew(bundle);
    if (grants.getGrantsCount() > 0) {
      addresses
          .replyAddress(bundle.getInstance(), bundle.getReplyAddress())
          .ifPresent(address -> send(address, FollowMessage.GRANTS, grants.toByteArray()));
    }
  }

  private void send(InetSocketAddress address, FollowMessage message, byte[] body) {
    context.transport().send(address, FollowMessage.SERVICE, message.kind(), body);
  }
}
