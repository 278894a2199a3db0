package org.teaseltrestle.node.replica;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.locks.LockSupport;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ReplicaId;
import org.teaseltrestle.wire.CommandAnswer;

/**
 * Random overlapping faults at the chain from an operator over the voters' storage and the
 * dissemination tree to entry nodes, all with the product's own classes on threads and loopback
 * connections. A seed determines the faults and their times, not the interleaving of threads.
 */
final class ChainSchedule implements AutoCloseable {

  private static final List<String> VOTERS = List.of("voter-0", "voter-1", "voter-2");
  private static final List<String> ENTRIES = List.of("entry-0", "entry-1", "entry-2");
  private static final int DATA_BYTES = 1_000_000;
  private static final int GONE_VOTERS = 2;
  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);

  /** Time without a fault after which a node is in touch. */
  private static final long CONTACT_NANOS = 3_000 * MILLISECOND;

  /** Time after its acknowledgement at which a change is in force at nodes in touch. */
  private static final long APPLY_NANOS = 2_000 * MILLISECOND;

  /** Time in which a change is acknowledged while the voters are undisturbed. */
  private static final long ACKNOWLEDGE_NANOS = 4_000 * MILLISECOND;

  private static final long SAMPLE_NANOS = 20 * MILLISECOND;

  private final LoopbackCluster cluster = new LoopbackCluster(3, DisseminationTreeSettings.FLAT);
  private final SplittableRandom random;
  private final long seed;
  private final List<String> faults = new ArrayList<>();
  private final List<String> violations = Collections.synchronizedList(new ArrayList<>());

  /** Number of running faults and time of the last change of it, by node. */
  private final Map<String, Disturbance> disturbances = new HashMap<>();

  private final Map<String, Long> highestIndex = new HashMap<>();
  private final TreeMap<Long, Runnable> recoveries = new TreeMap<>();
  private long lastVoterChangeNanos;

  /** Voter that lost its disk and is not replaced in the group yet, with its lost identity. */
  private @Nullable ReplicaId wiped;

  private static final class Disturbance {
    int running;
    long changedAtNanos;
  }

  ChainSchedule(long seed) {
    this.seed = seed;
    this.random = new SplittableRandom(seed);
  }

  /** Runs for a time and returns what was violated, empty if nothing was. */
  List<String> run(long durationNanos) {
    VOTERS.forEach(voter -> cluster.startVoter(voter, DATA_BYTES));
    String leader = cluster.awaitLeader();
    cluster.addGoneVoters("voter-0", GONE_VOTERS);
    for (int i = 0; i < ENTRIES.size(); i++) {
      cluster.startNonVoterBelow(VOTERS.get(i), ENTRIES.get(i));
    }
    long index = cluster.commit(leader, "first");
    ENTRIES.forEach(entry -> cluster.awaitApplied(entry, index));
    Operator operator = new Operator();
    operator.start();
    long start = System.nanoTime();
    lastVoterChangeNanos = start;
    long nextFault = start;
    while (System.nanoTime() - start < durationNanos) {
      long now = System.nanoTime();
      if (now - nextFault >= 0) {
        startFault(now);
        nextFault = now + millis(100, 5_000);
      }
      recover(now);
      endWipeOnceRepaired();
      check(now, operator);
      LockSupport.parkNanos(SAMPLE_NANOS);
    }
    while (!recoveries.isEmpty()) {
      recover(System.nanoTime());
      LockSupport.parkNanos(SAMPLE_NANOS);
    }
    operator.finish();
    checkNothingLost(operator);
    return List.copyOf(violations);
  }

  @Override
  public String toString() {
    return "seed " + seed + ": " + faults;
  }

  @Override
  public void close() {
    cluster.close();
  }

  private long millis(int from, int to) {
    return random.nextInt(from, to) * MILLISECOND;
  }

  private void startFault(long now) {
    boolean atVoter = random.nextInt(5) < 3;
    List<String> targets = atVoter ? VOTERS : ENTRIES;
    String target = targets.get(random.nextInt(targets.size()));
    Disturbance disturbance = disturbances.computeIfAbsent(target, name -> new Disturbance());
    long untilNanos = now + millis(50, 6_000);
    int kind = random.nextInt(atVoter ? 4 : 3);
    if (disturbance.running > 0 || (atVoter && disturbedVoters() > 0 && random.nextInt(3) > 0)) {
      return;
    }
    if (atVoter && kind == 3) {
      wipe(target, now, untilNanos);
    } else if (atVoter && kind == 0) {
      begin(target, "stopped", now, untilNanos, () -> cluster.stop(target));
      onRecovery(target, untilNanos, () -> cluster.startVoter(target, DATA_BYTES));
    } else if (atVoter && kind == 1) {
      begin(target, "full disk", now, untilNanos, () -> cluster.fillDisk(target, DATA_BYTES));
      onRecovery(target, untilNanos, () -> cluster.freeDisk(target));
    } else if (atVoter) {
      begin(target, "cut off", now, untilNanos, () -> cluster.cutVoterOff(target));
      onRecovery(target, untilNanos, () -> cluster.reconnectVoter(target));
    } else if (kind == 0) {
      begin(target, "restarted", now, now, () -> cluster.stop(target));
      onRecovery(target, now, () -> startEntry(target));
    } else {
      begin(target, "isolated", now, untilNanos, () -> cluster.isolate(target));
      onRecovery(target, untilNanos, () -> cluster.heal(target));
    }
  }

  /** Loses a disk unless another voter is disturbed, or an earlier loss is not repaired. */
  private void wipe(String target, long now, long untilNanos) {
    Optional<ReplicaId> identity =
        leaderVoters().stream().filter(id -> id.instance().value().equals(target)).findFirst();
    if (wiped != null || disturbedVoters() > 0 || identity.isEmpty()) {
      return;
    }
    wiped = identity.get();
    begin(
        target,
        "wiped",
        now,
        untilNanos,
        () -> {
          cluster.stop(target);
          cluster.loseDisk(target);
        });
    // The fault ends once the group has replaced the lost identity.
    putRecovery(untilNanos, () -> cluster.startVoter(target, DATA_BYTES));
  }

  private void endWipeOnceRepaired() {
    ReplicaId lost = wiped;
    List<ReplicaId> voters = leaderVoters();
    if (lost != null && voters.size() == VOTERS.size() && !voters.contains(lost)) {
      wiped = null;
      changed(lost.instance().value(), -1);
    }
  }

  /** Returns the voters of the latest leader that runs, empty if there is none. */
  private List<ReplicaId> leaderVoters() {
    return VOTERS.stream()
        .map(cluster.nodes::get)
        .filter(Objects::nonNull)
        .map(node -> node.plane().status())
        .filter(status -> status.role().equals("leader"))
        .max(Comparator.comparingLong(ControlStatus::term))
        .map(ControlStatus::voters)
        .orElse(List.of());
  }

  private void startEntry(String entry) {
    highestIndex.remove(entry);
    cluster.startNonVoterBelow(VOTERS.get(ENTRIES.indexOf(entry)), entry);
  }

  private void begin(String target, String fault, long now, long untilNanos, Runnable action) {
    faults.add(target + " " + fault + " for " + (untilNanos - now) / MILLISECOND + " ms");
    action.run();
    changed(target, 1);
  }

  private void onRecovery(String target, long atNanos, Runnable action) {
    putRecovery(
        atNanos,
        () -> {
          action.run();
          changed(target, -1);
        });
  }

  private void putRecovery(long atNanos, Runnable action) {
    long free = atNanos;
    while (recoveries.containsKey(free)) {
      free++;
    }
    recoveries.put(free, action);
  }

  private void recover(long now) {
    while (!recoveries.isEmpty() && now - recoveries.firstKey() >= 0) {
      recoveries.pollFirstEntry().getValue().run();
    }
  }

  private void changed(String target, int difference) {
    Disturbance disturbance = disturbances.get(target);
    if (disturbance != null) {
      disturbance.running += difference;
      disturbance.changedAtNanos = System.nanoTime();
    }
    if (VOTERS.contains(target)) {
      lastVoterChangeNanos = System.nanoTime();
    }
  }

  private long disturbedVoters() {
    return VOTERS.stream().filter(voter -> !isCalm(voter)).count();
  }

  private boolean isCalm(String node) {
    Disturbance disturbance = disturbances.get(node);
    return disturbance == null || disturbance.running == 0;
  }

  private boolean isCalmFor(String node, long nanos, long now) {
    Disturbance disturbance = disturbances.get(node);
    return disturbance == null
        || (disturbance.running == 0 && now - disturbance.changedAtNanos > nanos);
  }

  private boolean isCoreStableFor(long nanos, long now) {
    return disturbedVoters() <= 1 && now - lastVoterChangeNanos > nanos;
  }

  private void check(long now, Operator operator) {
    for (String entry : ENTRIES) {
      LoopbackCluster.Node node = cluster.nodes.get(entry);
      if (node == null) {
        continue;
      }
      long required = operator.acknowledgedBefore(now - APPLY_NANOS);
      long applied = node.plane().view().appliedIndex();
      if (applied < highestIndex.getOrDefault(entry, 0L)) {
        violations.add(entry + " went back to " + applied);
      }
      highestIndex.put(entry, applied);
      boolean inTouch = isCalmFor(entry, CONTACT_NANOS, now) && isCoreStableFor(CONTACT_NANOS, now);
      if (inTouch && node.plane().isReady() && applied < required) {
        violations.add(entry + " has applied " + applied + ", acknowledged was " + required);
      }
    }
    boolean unanswered = now - operator.sentAtNanos > ACKNOWLEDGE_NANOS;
    if (unanswered && isCoreStableFor(ACKNOWLEDGE_NANOS, now)) {
      violations.add("a change is without an answer");
      operator.sentAtNanos = now;
    }
  }

  private void checkNothingLost(Operator operator) {
    for (String voter : VOTERS) {
      cluster.stop(voter);
    }
    VOTERS.forEach(voter -> cluster.startVoter(voter, DATA_BYTES));
    String leader = cluster.awaitLeader();
    cluster.commit(leader, "last");
    for (String subject : new TreeSet<>(operator.acknowledged.values())) {
      if (!cluster.hasInstance(leader, subject)) {
        violations.add(subject + " was acknowledged and is lost");
      }
    }
  }

  /** Sends one change after the other, each until it is acknowledged, to the voters in turn. */
  private final class Operator extends Thread {

    private static final long ATTEMPT_MILLISECONDS = 1_000;
    private static final int SUBJECTS = 40;

    private final TreeMap<Long, String> acknowledged = new TreeMap<>();
    private final TreeMap<Long, Long> indexByTime = new TreeMap<>();
    private volatile long sentAtNanos = System.nanoTime();
    private volatile boolean finished;

    Operator() {
      super("operator");
    }

    synchronized long acknowledgedBefore(long nanos) {
      Map.Entry<Long, Long> entry = indexByTime.floorEntry(nanos);
      return entry == null ? 0 : entry.getValue();
    }

    void finish() {
      finished = true;
      try {
        join();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void run() {
      for (int change = 0; !finished; change++) {
        String subject = "subject-" + change % SUBJECTS;
        sentAtNanos = System.nanoTime();
        for (int attempt = change; !isAcknowledged(subject, attempt); attempt++) {
          LockSupport.parkNanos(10 * MILLISECOND);
        }
        LockSupport.parkNanos(100 * MILLISECOND);
      }
    }

    private boolean isAcknowledged(String subject, int attempt) {
      LoopbackCluster.Node through = cluster.nodes.get(VOTERS.get(attempt % VOTERS.size()));
      if (through == null) {
        return false;
      }
      try {
        CommandAnswer answer =
            cluster.propose(through, subject).get(ATTEMPT_MILLISECONDS, TimeUnit.MILLISECONDS);
        record(answer.getAppliedIndex(), subject);
        return true;
      } catch (ExecutionException | TimeoutException e) {
        return false;
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return true;
      }
    }

    private synchronized void record(long index, String subject) {
      acknowledged.put(index, subject);
      Map.Entry<Long, Long> last = indexByTime.lastEntry();
      indexByTime.put(System.nanoTime(), last == null ? index : Math.max(index, last.getValue()));
    }
  }
}
