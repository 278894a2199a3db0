package org.teaseltrestle.consensus;

import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;

/** Runs cores over a lossy network with random faults; the seed determines the whole run. */
final class RandomSchedule {

  private static final long NANOS_PER_MILLISECOND = 1_000_000;
  private static final long FAULTS_END_NANOS = 25_000 * NANOS_PER_MILLISECOND;
  private static final long RECOVERY_END_NANOS = 120_000 * NANOS_PER_MILLISECOND;

  /** Safety mechanism that a schedule leaves out, to show that the checker detects it. */
  enum Variant {
    COMPLETE,
    /** Complete, in a group that any replica may join and that removes silent voters. */
    OPEN_MEMBERSHIP,
    VOTE_NOT_PERSISTED,
    EMPTY_DISK_KEEPS_IDENTITY,
    RESPONSE_BEFORE_SYNC,
    CLOCK_DRIFT_BEYOND_BOUND
  }

  private record ScheduledStep(long time, long sequence, Runnable step) {}

  private record Link(InstanceId from, InstanceId to) {}

  final SafetyChecker checker = new SafetyChecker();
  private final Random random;
  private final Variant variant;
  private final RaftSettings settings;
  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private final Map<InstanceId, SimulatedReplica> byInstance = new HashMap<>();
  private final PriorityQueue<ScheduledStep> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(ScheduledStep::time).thenComparing(ScheduledStep::sequence));
  private final Set<Link> blockedLinks = new HashSet<>();
  private final Map<Long, String> proposals = new HashMap<>();
  private final Map<Long, Long> reads = new HashMap<>();
  private long now;
  private long sequence;
  private long nextIncarnation = 1;
  private boolean diskLostBeforeFormation;

  RandomSchedule(long seed, Variant variant) {
    this.random = new Random(seed);
    this.variant = variant;
    int voters = random.nextBoolean() ? 3 : 5;
    Set<InstanceId> instances = new HashSet<>();
    for (int i = 0; i < voters; i++) {
      instances.add(new InstanceId("voter-" + i));
    }
    settings =
        RaftSettings.builder()
            .initialVoters(instances)
            .snapshotChunkBytes(random.nextBoolean() ? 64 : 1 << 20)
            .retainedEntries(8)
            .maximumInFlight(16)
            .membership(
                variant == Variant.OPEN_MEMBERSHIP
                    ? RaftSettings.Membership.OPEN
                    : RaftSettings.Membership.INITIAL_VOTERS)
            .build();
    double drift = variant == Variant.CLOCK_DRIFT_BEYOND_BOUND ? 0.9 : 0.02;
    for (InstanceId instance : settings.initialVoters()) {
      double rate = 1 + drift * (2 * random.nextDouble() - 1);
      SimulatedReplica replica =
          new SimulatedReplica(newIdentity(instance), rate, random.nextInt(1_000_000_000));
      replicas.add(replica);
      byInstance.put(instance, replica);
    }
  }

  /** Runs with faults, then without, and checks that the group recovers with all entries. */
  void run() {
    for (SimulatedReplica replica : replicas) {
      after(random.nextInt(2_000), () -> startIfStopped(replica));
      after(1, () -> tick(replica));
    }
    after(500, this::proposeOrRead);
    after(500, this::injectFault);
    runUntil(FAULTS_END_NANOS);
    repairAll();
    runUntil(now + 10_000 * NANOS_PER_MILLISECOND);
    while (now < RECOVERY_END_NANOS && !(isRepaired() && allCaughtUp())) {
      runUntil(now + 500 * NANOS_PER_MILLISECOND);
    }
    assertTrue(isRepaired() && allCaughtUp(), "group did not recover after the faults");
    assertTrue(checker.acceptedCount() > 10, "schedule accepted 10 proposals or fewer");
    replicas.forEach(replica -> checker.onScheduleEnd(replica.applied));
  }

  private void runUntil(long end) {
    while (!queue.isEmpty() && queue.peek().time() <= end) {
      ScheduledStep next = queue.remove();
      now = next.time();
      next.step().run();
      checker.onLeaseHolders(
          replicas.stream().filter(this::holdsLease).map(replica -> replica.id).toList());
    }
    now = end;
  }

  private boolean holdsLease(SimulatedReplica replica) {
    return replica.core != null
        && replica.core.authorityLeaseEndNanos().isPresent()
        && replica.localNanos(now) - replica.core.authorityLeaseEndNanos().getAsLong() < 0;
  }

  private void after(long delayMilliseconds, Runnable step) {
    schedule(now + delayMilliseconds * NANOS_PER_MILLISECOND, step);
  }

  private void schedule(long time, Runnable step) {
    queue.add(new ScheduledStep(time, sequence++, step));
  }

  private boolean injectsFaults() {
    return now < FAULTS_END_NANOS;
  }

  private ReplicaId newIdentity(InstanceId instance) {
    return new ReplicaId(instance, nextIncarnation++);
  }

  private void startIfStopped(SimulatedReplica replica) {
    if (replica.core == null) {
      replica.start(settings, now);
    }
  }

  private void tick(SimulatedReplica replica) {
    handle(replica, new RaftEvent.Tick(random.nextDouble()));
    schedule(
        Math.max(now, replica.frozenUntil) + (20 + random.nextInt(10)) * NANOS_PER_MILLISECOND,
        () -> tick(replica));
  }

  private void handle(SimulatedReplica replica, RaftEvent event) {
    RaftCore core = replica.core;
    if (core == null) {
      return;
    }
    if (now < replica.frozenUntil) {
      schedule(replica.frozenUntil, () -> handle(replica, event));
      return;
    }
    List<RaftAction> actions = core.handle(event, replica.localNanos(now));
    for (RaftAction action : actions) {
      if (action instanceof RaftAction.StorageAction storage) {
        replica.store(storage, variant);
      }
    }
    boolean stores = actions.stream().anyMatch(RaftAction.StorageAction.class::isInstance);
    if (stores && injectsFaults() && random.nextInt(600) == 0) {
      if (variant == Variant.RESPONSE_BEFORE_SYNC) {
        actions.forEach(action -> execute(replica, core, action));
      }
      crash(replica);
      return;
    }
    replica.sync();
    int executed =
        injectsFaults() && random.nextInt(10_000) == 0 ? random.nextInt(4) : actions.size();
    for (int i = 0; i < actions.size() && i < executed; i++) {
      execute(replica, core, actions.get(i));
    }
    if (executed < actions.size()) {
      crash(replica);
    }
  }

  private void execute(SimulatedReplica replica, RaftCore core, RaftAction action) {
    if (action instanceof RaftAction.Send send) {
      transmit(send.envelope());
    } else if (action instanceof RaftAction.AppendEntries append) {
      checker.onAppend(append.entries());
    } else if (action instanceof RaftAction.Apply apply) {
      apply.entries().forEach(entry -> checker.onApply(entry, core.term()));
      apply.entries().forEach(replica::apply);
      if (replica.appliedIndex - replica.snapshotIndex >= 40) {
        replica.snapshotIndex = replica.appliedIndex;
        enqueue(replica, new RaftEvent.SnapshotTaken(replica.appliedIndex, replica.encodedState()));
      }
    } else if (action instanceof RaftAction.RestoreState restore) {
      replica.restore(restore.snapshot());
    } else if (action instanceof RaftAction.RoleChanged) {
      checker.onRoleChange(core);
    } else if (action instanceof RaftAction.ProposalCommitted committed
        && proposals.containsKey(committed.proposalId())) {
      checker.onProposalAccepted(proposals.get(committed.proposalId()), committed.index());
    } else if (action instanceof RaftAction.ReadConfirmed read) {
      checker.onRead(read.index(), reads.getOrDefault(read.readId(), 0L));
    }
  }

  private void enqueue(SimulatedReplica replica, RaftEvent event) {
    RaftCore core = replica.core;
    after(
        0,
        () -> {
          if (replica.core == core) {
            handle(replica, event);
          }
        });
  }

  private void transmit(RaftEnvelope envelope) {
    if (injectsFaults() && random.nextInt(100) < 3) {
      return;
    }
    int copies = injectsFaults() && random.nextInt(100) < 3 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = NANOS_PER_MILLISECOND / 2 + random.nextInt((int) NANOS_PER_MILLISECOND);
      if (injectsFaults() && random.nextInt(100) < 3) {
        delay += random.nextInt(2_000) * NANOS_PER_MILLISECOND;
      }
      schedule(now + delay, () -> deliver(envelope));
    }
  }

  private void deliver(RaftEnvelope envelope) {
    Link link = new Link(envelope.from().instance(), envelope.instance());
    SimulatedReplica receiver = byInstance.get(envelope.instance());
    if (receiver != null && !blockedLinks.contains(link)) {
      handle(receiver, new RaftEvent.Received(envelope));
    }
  }

  private void proposeOrRead() {
    long id = sequence++;
    SimulatedReplica replica = randomReplica();
    if (random.nextInt(4) == 0) {
      reads.put(id, checker.acceptedIndex());
      handle(replica, new RaftEvent.ReadIndex(id));
    } else {
      proposals.put(id, "command-" + id);
      byte[] command = ("command-" + id).getBytes(StandardCharsets.UTF_8);
      handle(replica, new RaftEvent.Propose(id, command));
    }
    after(5 + random.nextInt(30), this::proposeOrRead);
  }

  private SimulatedReplica randomReplica() {
    return replicas.get(random.nextInt(replicas.size()));
  }

  private void injectFault() {
    if (!injectsFaults()) {
      return;
    }
    SimulatedReplica replica = randomReplica();
    switch (random.nextInt(7)) {
      case 0, 1 -> crash(replica);
      case 2 -> replica.frozenUntil = now + random.nextInt(4_000) * NANOS_PER_MILLISECOND;
      case 3 -> blockLinks(replica, true, random.nextBoolean());
      case 4 -> blockLinks(replica, false, true);
      case 5 -> loseDisk(replica);
      default -> remove(replica);
    }
    after(200 + random.nextInt(2_000), this::injectFault);
  }

  private void crash(SimulatedReplica replica) {
    if (replica.core != null) {
      replica.core = null;
      after(100 + random.nextInt(3_000), () -> startIfStopped(replica));
    }
  }

  private void blockLinks(SimulatedReplica replica, boolean outbound, boolean inbound) {
    Set<Link> blocked = new HashSet<>();
    for (SimulatedReplica other : replicas) {
      if (outbound) {
        blocked.add(new Link(replica.instance, other.instance));
      }
      if (inbound) {
        blocked.add(new Link(other.instance, replica.instance));
      }
    }
    blockedLinks.addAll(blocked);
    after(200 + random.nextInt(4_000), () -> blockedLinks.removeAll(blocked));
  }

  /**
   * Loses a disk, unless an earlier loss is not repaired yet: no group survives that. Before the
   * group is formed only one disk is lost: if two of three voters lost their promises, the
   * coordinator could form a group without a quorum.
   */
  private void loseDisk(SimulatedReplica replica) {
    boolean forming = replicas.stream().noneMatch(SimulatedReplica::isFormed);
    if (isRepaired() || (forming && !diskLostBeforeFormation)) {
      diskLostBeforeFormation |= forming;
      boolean running = replica.core != null;
      boolean keep = variant == Variant.EMPTY_DISK_KEEPS_IDENTITY;
      replica.loseDisk(keep ? replica.id : newIdentity(replica.instance));
      if (running) {
        after(100 + random.nextInt(1_000), () -> startIfStopped(replica));
      }
    }
  }

  private void remove(SimulatedReplica replica) {
    if (isRepaired()) {
      latestLeader()
          .ifPresent(
              leader ->
                  handle(
                      Objects.requireNonNull(byInstance.get(leader.self().instance())),
                      new RaftEvent.ChangeMembership(
                          sequence++, RaftEvent.MembershipChange.REMOVE, replica.id)));
    }
  }

  private void repairAll() {
    blockedLinks.clear();
    for (SimulatedReplica replica : replicas) {
      replica.frozenUntil = now;
      startIfStopped(replica);
    }
  }

  private Optional<RaftCore> latestLeader() {
    return replicas.stream()
        .filter(replica -> replica.core != null)
        .map(replica -> replica.core)
        .filter(RaftCore::hasCommittedInCurrentTerm)
        .max(Comparator.comparingLong(RaftCore::term));
  }

  /** Returns whether the committed voters are exactly the current replica identities. */
  private boolean isRepaired() {
    Set<ReplicaId> identities =
        replicas.stream().map(replica -> replica.id).collect(Collectors.toSet());
    return latestLeader()
        .filter(core -> core.log().configurationIndex() <= core.commitIndex())
        .filter(core -> core.commitIndex() >= checker.acceptedIndex())
        .filter(core -> core.configuration().learners().isEmpty())
        .filter(core -> new HashSet<>(core.configuration().voters()).equals(identities))
        .isPresent();
  }

  private boolean allCaughtUp() {
    long accepted = checker.acceptedIndex();
    return replicas.stream().allMatch(replica -> replica.appliedIndex >= accepted);
  }
}
