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

/** Runs cores over a lossy network with random faults; everything follows from the seed. */
final class RandomSchedule {

  private static final long MILLISECOND = 1_000_000;
  private static final long FAULTS_END = 25_000 * MILLISECOND;
  private static final long HEALED_END = 120_000 * MILLISECOND;

  /** Mechanism that a schedule leaves out, to show that the checker notices. */
  enum Variant {
    COMPLETE,
    /** Complete, in a group that any replica may join and that goes on without silent voters. */
    OPEN_MEMBERSHIP,
    VOTE_NOT_PERSISTED,
    EMPTY_DISK_KEEPS_IDENTITY,
    ANSWER_BEFORE_SYNC,
    CLOCK_DRIFT_BEYOND_BOUND
  }

  private record Scheduled(long time, long sequence, Runnable step) {}

  private record Link(InstanceId from, InstanceId to) {}

  final SafetyChecker checker = new SafetyChecker();
  private final Random random;
  private final Variant variant;
  private final RaftSettings settings;
  private final List<SimulatedReplica> replicas = new ArrayList<>();
  private final Map<InstanceId, SimulatedReplica> byInstance = new HashMap<>();
  private final PriorityQueue<Scheduled> queue =
      new PriorityQueue<>(
          Comparator.comparingLong(Scheduled::time).thenComparing(Scheduled::sequence));
  private final Set<Link> cutLinks = new HashSet<>();
  private final Map<Long, String> proposals = new HashMap<>();
  private final Map<Long, Long> reads = new HashMap<>();
  private long now;
  private long sequence;
  private long nextIncarnation = 1;
  private boolean lostBeforeFormation;

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
          new SimulatedReplica(freshId(instance), rate, random.nextInt(1_000_000_000));
      replicas.add(replica);
      byInstance.put(instance, replica);
    }
  }

  /** Runs faults, then heals everything and checks that the group recovers with all entries. */
  void run() {
    for (SimulatedReplica replica : replicas) {
      at(random.nextInt(2_000), () -> start(replica));
      at(1, () -> tick(replica));
    }
    at(500, this::propose);
    at(500, this::fault);
    runUntil(FAULTS_END);
    heal();
    runUntil(now + 10_000 * MILLISECOND);
    while (now < HEALED_END && !(isRepaired() && allEqual())) {
      runUntil(now + 500 * MILLISECOND);
    }
    assertTrue(isRepaired() && allEqual(), "group did not recover after healing");
    assertTrue(checker.acceptedCount() > 10, "schedule accepted next to nothing");
    replicas.forEach(replica -> checker.atEnd(replica.applied));
  }

  private void runUntil(long end) {
    while (!queue.isEmpty() && queue.peek().time() <= end) {
      Scheduled next = queue.remove();
      now = next.time();
      next.step().run();
      checker.onLeases(
          replicas.stream().filter(this::holdsLease).map(replica -> replica.id).toList());
    }
    now = end;
  }

  private boolean holdsLease(SimulatedReplica replica) {
    return replica.core != null
        && replica.core.authorityLeaseEndNanos().isPresent()
        && replica.localNanos(now) - replica.core.authorityLeaseEndNanos().getAsLong() < 0;
  }

  private void at(long delayMilliseconds, Runnable step) {
    schedule(now + delayMilliseconds * MILLISECOND, step);
  }

  private void schedule(long time, Runnable step) {
    queue.add(new Scheduled(time, sequence++, step));
  }

  private boolean faulty() {
    return now < FAULTS_END;
  }

  private ReplicaId freshId(InstanceId instance) {
    return new ReplicaId(instance, nextIncarnation++);
  }

  private void start(SimulatedReplica replica) {
    if (replica.core == null) {
      replica.start(settings, now);
    }
  }

  private void tick(SimulatedReplica replica) {
    handle(replica, new RaftEvent.Tick(random.nextDouble()));
    schedule(
        Math.max(now, replica.frozenUntil) + (20 + random.nextInt(10)) * MILLISECOND,
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
    if (stores && faulty() && random.nextInt(600) == 0) {
      if (variant == Variant.ANSWER_BEFORE_SYNC) {
        actions.forEach(action -> execute(replica, core, action));
      }
      crash(replica);
      return;
    }
    replica.sync();
    int executed = faulty() && random.nextInt(10_000) == 0 ? random.nextInt(4) : actions.size();
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
        handleSoon(
            replica, new RaftEvent.SnapshotTaken(replica.appliedIndex, replica.encodedState()));
      }
    } else if (action instanceof RaftAction.RestoreState restore) {
      replica.restore(restore.snapshot());
    } else if (action instanceof RaftAction.RoleChanged) {
      checker.onRole(core);
    } else if (action instanceof RaftAction.ProposalCommitted done
        && proposals.containsKey(done.proposalId())) {
      checker.onAccepted(proposals.get(done.proposalId()), done.index());
    } else if (action instanceof RaftAction.ReadConfirmed read) {
      checker.onRead(read.index(), reads.getOrDefault(read.readId(), 0L));
    }
  }

  private void handleSoon(SimulatedReplica replica, RaftEvent event) {
    RaftCore core = replica.core;
    at(
        0,
        () -> {
          if (replica.core == core) {
            handle(replica, event);
          }
        });
  }

  private void transmit(RaftEnvelope envelope) {
    if (faulty() && random.nextInt(100) < 3) {
      return;
    }
    int copies = faulty() && random.nextInt(100) < 3 ? 2 : 1;
    for (int i = 0; i < copies; i++) {
      long delay = MILLISECOND / 2 + random.nextInt((int) MILLISECOND);
      if (faulty() && random.nextInt(100) < 3) {
        delay += random.nextInt(2_000) * MILLISECOND;
      }
      schedule(now + delay, () -> deliver(envelope));
    }
  }

  private void deliver(RaftEnvelope envelope) {
    Link link = new Link(envelope.from().instance(), envelope.instance());
    SimulatedReplica receiver = byInstance.get(envelope.instance());
    if (receiver != null && !cutLinks.contains(link)) {
      handle(receiver, new RaftEvent.Received(envelope));
    }
  }

  private void propose() {
    long id = sequence++;
    SimulatedReplica replica = anyReplica();
    if (random.nextInt(4) == 0) {
      reads.put(id, checker.acceptedIndex());
      handle(replica, new RaftEvent.ReadIndex(id));
    } else {
      proposals.put(id, "command-" + id);
      byte[] command = ("command-" + id).getBytes(StandardCharsets.UTF_8);
      handle(replica, new RaftEvent.Propose(id, command));
    }
    at(5 + random.nextInt(30), this::propose);
  }

  private SimulatedReplica anyReplica() {
    return replicas.get(random.nextInt(replicas.size()));
  }

  private void fault() {
    if (!faulty()) {
      return;
    }
    SimulatedReplica replica = anyReplica();
    switch (random.nextInt(7)) {
      case 0, 1 -> crash(replica);
      case 2 -> replica.frozenUntil = now + random.nextInt(4_000) * MILLISECOND;
      case 3 -> cut(replica, true, random.nextBoolean());
      case 4 -> cut(replica, false, true);
      case 5 -> loseDisk(replica);
      default -> remove(replica);
    }
    at(200 + random.nextInt(2_000), this::fault);
  }

  private void crash(SimulatedReplica replica) {
    if (replica.core != null) {
      replica.core = null;
      at(100 + random.nextInt(3_000), () -> start(replica));
    }
  }

  private void cut(SimulatedReplica replica, boolean outward, boolean inward) {
    Set<Link> cut = new HashSet<>();
    for (SimulatedReplica other : replicas) {
      if (outward) {
        cut.add(new Link(replica.instance, other.instance));
      }
      if (inward) {
        cut.add(new Link(other.instance, replica.instance));
      }
    }
    cutLinks.addAll(cut);
    at(200 + random.nextInt(4_000), () -> cutLinks.removeAll(cut));
  }

  /**
   * Loses a disk unless an earlier loss is not repaired yet, which no group survives. Before the
   * group is formed only one disk is lost: the promises of two lost voters out of three would let
   * the coordinator form a group without a quorum.
   */
  private void loseDisk(SimulatedReplica replica) {
    boolean forming = replicas.stream().noneMatch(SimulatedReplica::isFormed);
    if (isRepaired() || (forming && !lostBeforeFormation)) {
      lostBeforeFormation |= forming;
      boolean running = replica.core != null;
      boolean keep = variant == Variant.EMPTY_DISK_KEEPS_IDENTITY;
      replica.loseDisk(keep ? replica.id : freshId(replica.instance));
      if (running) {
        at(100 + random.nextInt(1_000), () -> start(replica));
      }
    }
  }

  private void remove(SimulatedReplica replica) {
    if (isRepaired()) {
      newestCore()
          .ifPresent(
              leader ->
                  handle(
                      Objects.requireNonNull(byInstance.get(leader.self().instance())),
                      new RaftEvent.ChangeMembership(
                          sequence++, RaftEvent.MembershipChange.REMOVE, replica.id)));
    }
  }

  private void heal() {
    cutLinks.clear();
    for (SimulatedReplica replica : replicas) {
      replica.frozenUntil = now;
      start(replica);
    }
  }

  private Optional<RaftCore> newestCore() {
    return replicas.stream()
        .filter(replica -> replica.core != null)
        .map(replica -> replica.core)
        .filter(RaftCore::leadsWithCommittedEntry)
        .max(Comparator.comparingLong(RaftCore::term));
  }

  /** Tells whether the committed voters are exactly the present identities. */
  private boolean isRepaired() {
    Set<ReplicaId> identities =
        replicas.stream().map(replica -> replica.id).collect(Collectors.toSet());
    return newestCore()
        .filter(core -> core.log().configurationIndex() <= core.commitIndex())
        .filter(core -> core.commitIndex() >= checker.acceptedIndex())
        .filter(core -> core.configuration().learners().isEmpty())
        .filter(core -> new HashSet<>(core.configuration().voters()).equals(identities))
        .isPresent();
  }

  private boolean allEqual() {
    long accepted = checker.acceptedIndex();
    return replicas.stream().allMatch(replica -> replica.appliedIndex >= accepted);
  }
}
