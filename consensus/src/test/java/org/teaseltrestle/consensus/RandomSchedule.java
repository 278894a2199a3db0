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
import java.util.OptionalLong;
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

  /** Drift of two clocks over the age of news, which is below an election timeout. */
  private static final long MAXIMUM_DRIFT_OF_NEWS_NANOS = 40 * NANOS_PER_MILLISECOND;

  private static final long RECOVERY_END_NANOS = 120_000 * NANOS_PER_MILLISECOND;

  /** Safety mechanism that a schedule leaves out, to show that the checker detects it. */
  enum Variant {
    COMPLETE,
    /** Complete, in a group that any replica may join and that removes silent voters. */
    OPEN_MEMBERSHIP,
    /**
     * Open, on the product's storage: machines are replaced for good, and voters lose their disks
     * right after they accepted a proposal, while others lose power.
     */
    REPLACEMENTS,
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
  private final double drift;
  private final int snapshotChunkBytes;
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
  private boolean replacesOnceRepaired;
  private boolean losesDiskAfterAcceptance;
  private long replacements;
  private long disksLostAfterAcceptance;

  RandomSchedule(long seed, Variant variant) {
    this.random = new Random(seed);
    this.variant = variant;
    int voters = random.nextBoolean() ? 3 : 5;
    Set<InstanceId> instances = new HashSet<>();
    for (int i = 0; i < voters; i++) {
      instances.add(new InstanceId("voter-" + i));
    }
    snapshotChunkBytes = random.nextBoolean() ? 64 : 1 << 20;
    settings = settings(instances);
    drift = variant == Variant.CLOCK_DRIFT_BEYOND_BOUND ? 0.9 : 0.02;
    settings.initialVoters().forEach(this::addReplica);
  }

  private RaftSettings settings(Set<InstanceId> initialVoters) {
    boolean open = variant == Variant.OPEN_MEMBERSHIP || variant == Variant.REPLACEMENTS;
    RaftSettings.Builder builder =
        RaftSettings.builder()
            .initialVoters(initialVoters)
            .snapshotChunkBytes(snapshotChunkBytes)
            .retainedEntries(8)
            .maximumInFlight(16)
            .membership(
                open ? RaftSettings.Membership.OPEN : RaftSettings.Membership.INITIAL_VOTERS);
    if (variant == Variant.REPLACEMENTS) {
      // As on the platform.
      builder
          .electionNanos(800 * NANOS_PER_MILLISECOND, 1_600 * NANOS_PER_MILLISECOND)
          .leaseNanos(720 * NANOS_PER_MILLISECOND);
    }
    return builder.build();
  }

  private SimulatedReplica addReplica(InstanceId instance) {
    double rate = 1 + drift * (2 * random.nextDouble() - 1);
    ReplicaId id = newIdentity(instance);
    long offset = random.nextInt(1_000_000_000);
    SimulatedReplica replica =
        variant == Variant.REPLACEMENTS
            ? new DiskReplica(id, rate, offset, new Random(random.nextLong()))
            : new SimulatedReplica(id, rate, offset);
    replicas.add(replica);
    byInstance.put(instance, replica);
    return replica;
  }

  /** Runs with faults, then without, and checks that the group recovers with all entries. */
  void run() {
    for (SimulatedReplica replica : replicas) {
      after(random.nextInt(2_000), () -> startIfStopped(replica));
      after(1, () -> tick(replica));
    }
    after(500, this::proposeOrRead);
    after(500, this::injectFault);
    runUntil(faultsEndNanos());
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

  private long faultsEndNanos() {
    return variant == Variant.REPLACEMENTS ? 2 * FAULTS_END_NANOS : FAULTS_END_NANOS;
  }

  private boolean injectsFaults() {
    return now < faultsEndNanos();
  }

  private ReplicaId newIdentity(InstanceId instance) {
    return new ReplicaId(instance, nextIncarnation++);
  }

  private void startIfStopped(SimulatedReplica replica) {
    if (replica.core == null && byInstance.get(replica.instance) == replica) {
      // The settings of a replacement name the machines of its time.
      replica.start(
          variant == Variant.REPLACEMENTS ? settings(byInstance.keySet()) : settings, now);
    }
  }

  long replacements() {
    return replacements;
  }

  long disksLostAfterAcceptance() {
    return disksLostAfterAcceptance;
  }

  private void tick(SimulatedReplica replica) {
    handle(replica, new RaftEvent.Tick(random.nextDouble()));
    schedule(
        Math.max(now, replica.frozenUntil) + (20 + random.nextInt(10)) * NANOS_PER_MILLISECOND,
        () -> tick(replica));
  }

  private void handle(SimulatedReplica replica, RaftEvent event) {
    handle(replica, event, now);
  }

  private void handle(SimulatedReplica replica, RaftEvent event, long sentAt) {
    RaftCore core = replica.core;
    if (core == null) {
      return;
    }
    if (now < replica.frozenUntil) {
      schedule(replica.frozenUntil, () -> handle(replica, event, sentAt));
      return;
    }
    OptionalLong knownBefore = core.committedKnownAtNanos();
    List<RaftAction> actions = core.handle(event, replica.localNanos(now));
    if (!core.committedKnownAtNanos().equals(knownBefore)) {
      replica.newsTransitNanos = isAppendRequest(event) ? now - sentAt : 0;
    }
    try {
      if (!storeAndExecute(replica, core, actions)) {
        crash(replica);
      }
    } catch (SimulatedDisk.Killed e) {
      crash(replica);
    }
    if (replica.core == core) {
      checkKnown(replica, core);
    }
  }

  private static boolean isAppendRequest(RaftEvent event) {
    return event instanceof RaftEvent.Received received
        && received.envelope().message() instanceof RaftMessage.AppendRequest;
  }

  /** News is dated by its arrival, so that it counts as newer by the time on its way. */
  private void checkKnown(SimulatedReplica replica, RaftCore core) {
    if (core.committedKnownAtNanos().isPresent()) {
      long claimed = replica.realNanos(core.committedKnownAtNanos().getAsLong());
      checker.onKnown(
          replica.id,
          replica.appliedIndex,
          claimed - replica.newsTransitNanos - MAXIMUM_DRIFT_OF_NEWS_NANOS);
    }
  }

  /** Returns false if the process ends meanwhile. */
  private boolean storeAndExecute(
      SimulatedReplica replica, RaftCore core, List<RaftAction> actions) {
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
      return false;
    }
    replica.sync();
    int executed =
        injectsFaults() && random.nextInt(10_000) == 0 ? random.nextInt(4) : actions.size();
    for (int i = 0; i < actions.size() && i < executed; i++) {
      execute(replica, core, actions.get(i));
      if (replica.core != core) {
        return true;
      }
    }
    return executed == actions.size();
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
      checker.onProposalAccepted(proposals.get(committed.proposalId()), committed.index(), now);
      if (losesDiskAfterAcceptance && injectsFaults() && isRepaired()) {
        losesDiskAfterAcceptance = false;
        disksLostAfterAcceptance++;
        loseDiskWhileOthersLosePower(replica);
      }
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
      long sentAt = now;
      schedule(now + delay, () -> deliver(envelope, sentAt));
    }
  }

  private void deliver(RaftEnvelope envelope, long sentAt) {
    Link link = new Link(envelope.from().instance(), envelope.instance());
    SimulatedReplica receiver = byInstance.get(envelope.instance());
    if (receiver != null && !blockedLinks.contains(link)) {
      handle(receiver, new RaftEvent.Received(envelope), sentAt);
    }
  }

  private void proposeOrRead() {
    boolean replaces = replacesOnceRepaired && !losesDiskAfterAcceptance && injectsFaults();
    if (replaces && isRepaired()) {
      replacesOnceRepaired = false;
      replace(randomReplica());
    }
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
    if (variant == Variant.REPLACEMENTS && checker.acceptedIndex() == 0) {
      // Other variants disturb the formation of the group.
      after(500, this::injectFault);
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
    if (variant == Variant.REPLACEMENTS) {
      switch (random.nextInt(4)) {
        case 0, 1 -> replacesOnceRepaired = true;
        case 2 -> losesDiskAfterAcceptance = true;
        default -> List.copyOf(replicas).forEach(SimulatedReplica::failSoon);
      }
    }
    after(200 + random.nextInt(2_000), this::injectFault);
  }

  private void crash(SimulatedReplica replica) {
    if (replica.core != null) {
      replica.end();
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

  /** Removes a machine for good and starts another with an empty disk at a new address. */
  private void replace(SimulatedReplica replica) {
    replica.end();
    replicas.remove(replica);
    byInstance.remove(replica.instance);
    SimulatedReplica added = addReplica(new InstanceId("voter-new-" + ++replacements));
    after(random.nextInt(1_000), () -> startIfStopped(added));
    after(1, () -> tick(added));
  }

  /** Of the others, each loses power at once, during one of its next writes, or not at all. */
  private void loseDiskWhileOthersLosePower(SimulatedReplica replica) {
    for (SimulatedReplica other : List.copyOf(replicas)) {
      int kind = other == replica ? -1 : random.nextInt(4);
      if (kind == 0) {
        other.failSoon();
      } else if (kind > 1) {
        crash(other);
      }
    }
    if (random.nextBoolean()) {
      replica.loseDisk(newIdentity(replica.instance));
      after(100 + random.nextInt(1_000), () -> startIfStopped(replica));
    } else {
      replace(replica);
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
