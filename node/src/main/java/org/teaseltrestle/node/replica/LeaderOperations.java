package org.teaseltrestle.node.replica;

import com.google.protobuf.InvalidProtocolBufferException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.consensus.Configuration;
import org.teaseltrestle.consensus.RaftAction.Refusal;
import org.teaseltrestle.control.leader.AcknowledgementBarrier;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.MonotonicClock;
import org.teaseltrestle.kernel.WallClock;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.wire.ChangeQuery;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.GrantBundle;
import org.teaseltrestle.wire.InstanceRecord;
import org.teaseltrestle.wire.LeaderAnswer;
import org.teaseltrestle.wire.PoolDemand;
import org.teaseltrestle.wire.RecordVoters;
import org.teaseltrestle.wire.RegisterInstance;
import org.teaseltrestle.wire.RenewalBundle;
import org.teaseltrestle.wire.RetireInstance;
import org.teaseltrestle.wire.UnconfirmedInstance;
import org.teaseltrestle.wire.WithdrawalQuery;

/** Operations on the control state that only the leader performs. Used by the replica duty only. */
final class LeaderOperations {

  private static final EventLog LOG = EventLog.of(LeaderOperations.class);

  // Nodes whose voter failed report through another voter after a few seconds.
  private static final long DEMAND_RETENTION_NANOS = TimeUnit.SECONDS.toNanos(5);

  /** Time between two attempts to record the voters. */
  private static final long VOTERS_RECORD_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ControlPlaneSettings settings;
  private final ReplicaDriver driver;
  private final AppliedState state;
  private final LeaderAuthority authority;
  private final MonotonicClock clock;
  private final WallClock wallClock;
  private final Map<String, Demand> demandBySender = new HashMap<>();
  private volatile List<PoolDemand> poolDemand = List.of();
  private final Set<String> retiring = new HashSet<>();
  private @Nullable KeyLeaseRegistry keyLeases;
  private @Nullable AcknowledgementBarrier barrier;
  private long nextRequest;
  private long votersRecordNotBeforeNanos;

  private record Demand(
      Map<String, Double> tokensPerSecond, List<PoolDemand> pools, long receivedAtNanos) {}

  LeaderOperations(
      ControlPlaneSettings settings,
      ReplicaDriver driver,
      AppliedState state,
      LeaderAuthority authority,
      MonotonicClock clock,
      WallClock wallClock) {
    this.settings = settings;
    this.driver = driver;
    this.state = state;
    this.authority = authority;
    this.clock = clock;
    this.wallClock = wallClock;
    this.votersRecordNotBeforeNanos = clock.nowNanos();
  }

  /** Returns the demand by pool that this leader knows of all nodes. Safe for any thread. */
  List<PoolDemand> poolDemand() {
    return poolDemand;
  }

  /** Starts a new leadership with empty leases and demand. */
  void onElected() {
    keyLeases = new KeyLeaseRegistry(clock.nowNanos(), settings.keyLeaseNanos(), this::register);
    barrier =
        new AcknowledgementBarrier(
            clock.nowNanos(), LeaseRenewer.longestSilenceNanos(settings.tree()));
    demandBySender.clear();
    retiring.clear();
  }

  /** Records the voters of the committed membership if the state names others. */
  void recordVotersIfChanged() {
    Configuration committed = driver.core().committedConfiguration().orElse(null);
    long now = clock.nowNanos();
    if (committed == null || now - votersRecordNotBeforeNanos < 0) {
      return;
    }
    List<String> voters =
        committed.voters().stream()
            .map(each -> each.instance().value())
            .distinct()
            .sorted()
            .toList();
    if (voters.equals(state.view().recordedVoters())) {
      return;
    }
    votersRecordNotBeforeNanos = now + VOTERS_RECORD_INTERVAL_NANOS;
    LOG.info(ReplicaEvent.VOTERS_RECORDED, "voters", voters);
    propose(
        Command.newBuilder().setRecordVoters(RecordVoters.newBuilder().addAllInstances(voters)),
        answer -> {});
  }

  void onLeadershipLost() {
    keyLeases = null;
    barrier = null;
  }

  /** Returns the grants for a bundle; no grants unless this replica holds the leader lease. */
  GrantBundle renew(RenewalBundle bundle) {
    long now = clock.nowNanos();
    KeyLeaseRegistry activeLeases = keyLeases;
    GrantBundle.Builder grants = GrantBundle.newBuilder();
    if (activeLeases == null || !authority.hasLeaderLease(now)) {
      return grants.build();
    }
    recordProgress(bundle, now);
    demandBySender.put(
        bundle.getInstance(),
        new Demand(AccountShares.toMap(bundle.getDemandList()), bundle.getPoolDemandList(), now));
    demandBySender.values().removeIf(each -> now - each.receivedAtNanos() > DEMAND_RETENTION_NANOS);
    Map<String, Double> totalDemand = new HashMap<>();
    for (Demand each : demandBySender.values()) {
      each.tokensPerSecond()
          .forEach((account, tokens) -> totalDemand.merge(account, tokens, Double::sum));
    }
    List<PoolDemand> pools = new ArrayList<>();
    demandBySender.values().forEach(each -> pools.addAll(each.pools()));
    poolDemand = PoolDemands.sum(pools);
    return grants
        .addAllGrants(activeLeases.renew(bundle.getRenewalsList(), state.view(), now))
        .addAllTotalDemand(AccountShares.toList(totalDemand))
        .setRegisteredInstances(state.view().instances().size())
        .build();
  }

  /** Records that a process asks for a confirmation. */
  void confirming(String instance, long boot) {
    AcknowledgementBarrier active = barrier;
    if (active != null) {
      active.confirming(instance, boot, clock.nowNanos());
    }
  }

  void handle(LeaderRequest request, byte[] body, Consumer<LeaderAnswer> reply) {
    switch (request) {
      case PROPOSE -> driver.propose(body, reply);
      case CONFIRM -> driver.confirm(reply);
      case WITHDRAWAL -> replyUnconfirmed(body, reply);
      case AWAITED -> replyAwaited(body, reply);
      default -> throw new IllegalArgumentException(request.name());
    }
  }

  /** Retires instances that the platform lists as removed. */
  void retire(Set<String> removed) {
    if (keyLeases == null) {
      return;
    }
    for (InstanceRecord each : state.view().instances()) {
      if (removed.contains(each.getInstance()) && retiring.add(each.getInstance())) {
        LOG.info(ReplicaEvent.INSTANCE_RETIRING, "instance", each.getInstance());
        RetireInstance retirement =
            RetireInstance.newBuilder()
                .setInstance(each.getInstance())
                .setReason("platform_gone")
                .build();
        propose(
            Command.newBuilder().setRetireInstance(retirement),
            answer -> retiring.remove(each.getInstance()));
      }
    }
  }

  private void replyUnconfirmed(byte[] body, Consumer<LeaderAnswer> reply) {
    long now = clock.nowNanos();
    KeyLeaseRegistry activeLeases = keyLeases;
    if (activeLeases == null || !authority.hasLeaderLease(now)) {
      reply.accept(LeaderAnswers.refused(Refusal.NOT_LEADER, driver.core().leader()));
      return;
    }
    LeaderAnswer.Builder answer = LeaderAnswer.newBuilder().setStatus(LeaderAnswer.Status.ANSWERED);
    activeLeases
        .unconfirmed(state.view(), parseIndex(body), now)
        .forEach(
            each ->
                answer.addUnconfirmed(
                    UnconfirmedInstance.newBuilder()
                        .setInstance(each.instance())
                        .setLeaseEndsInNanos(each.leaseEndsAtNanos() - now)));
    reply.accept(answer.build());
  }

  private void recordProgress(RenewalBundle bundle, long nowNanos) {
    AcknowledgementBarrier active = barrier;
    if (active != null) {
      bundle
          .getRenewalsList()
          .forEach(
              each ->
                  active.heard(
                      each.getInstance(), each.getBoot(), each.getAppliedIndex(), nowNanos));
    }
  }

  private void replyAwaited(byte[] body, Consumer<LeaderAnswer> reply) {
    long now = clock.nowNanos();
    AcknowledgementBarrier active = barrier;
    if (active == null || !authority.hasLeaderLease(now)) {
      reply.accept(LeaderAnswers.refused(Refusal.NOT_LEADER, driver.core().leader()));
      return;
    }
    OptionalLong awaited =
        awaitedIndex(
            parseChangeIndex(body),
            state.appliedIndex(),
            state.view().servingDocument().changedIndex());
    if (awaited.isEmpty()) {
      reply.accept(LeaderAnswers.awaited(List.of(settings.instance().value())));
      return;
    }
    long index = awaited.getAsLong();
    Set<String> voters =
        driver.core().configuration().voters().stream()
            .map(ReplicaId::instance)
            .map(InstanceId::value)
            .collect(Collectors.toSet());
    active.heard(settings.instance().value(), settings.boot(), state.appliedIndex(), now);
    AcknowledgementBarrier.Status status =
        active.status(index, state.view().instances(), voters, now);
    if (status.newlyPassed()) {
      LOG.info(
          ReplicaEvent.CHANGE_IN_FORCE,
          "index",
          index,
          "applied",
          state.appliedIndex(),
          "passedOver",
          status.passedOver());
    }
    reply.accept(LeaderAnswers.awaited(status.awaited()));
  }

  /**
   * Returns the index that instances must have applied: the one at which the configuration came
   * into force that is in force at an index, since a change that is sent again is a new entry, but
   * waits for nothing new. Empty while this leader has not applied the index, as a new one may not:
   * no instance can have it, and the configuration that it knows is the one before.
   *
   * @param index log index of a change
   * @param appliedIndex index up to which this leader has applied the log
   * @param changedIndex index at which the configuration of that state came into force, 0 if
   *     unknown
   */
  static OptionalLong awaitedIndex(long index, long appliedIndex, long changedIndex) {
    if (index > appliedIndex) {
      return OptionalLong.empty();
    }
    return OptionalLong.of(changedIndex > 0 ? Math.min(index, changedIndex) : index);
  }

  private static long parseChangeIndex(byte[] body) {
    try {
      return ChangeQuery.parseFrom(body).getIndex();
    } catch (InvalidProtocolBufferException e) {
      return Long.MAX_VALUE;
    }
  }

  private static long parseIndex(byte[] body) {
    try {
      return WithdrawalQuery.parseFrom(body).getIndex();
    } catch (InvalidProtocolBufferException e) {
      return Long.MAX_VALUE;
    }
  }

  private void register(InstanceRecord record) {
    LOG.info(ReplicaEvent.INSTANCE_REGISTERING, "instance", record.getInstance());
    propose(
        Command.newBuilder().setRegisterInstance(RegisterInstance.newBuilder().setInstance(record)),
        answer -> {});
  }

  private void propose(Command.Builder command, Consumer<LeaderAnswer> reply) {
    String id = settings.instance() + "-" + Long.toHexString(settings.boot()) + "-" + nextRequest++;
    command.setRequestId(id).setProposedAtMillis(wallClock.nowMillis());
    driver.propose(command.build().toByteArray(), reply);
  }
}
