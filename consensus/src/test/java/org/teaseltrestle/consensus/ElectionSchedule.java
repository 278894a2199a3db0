package org.teaseltrestle.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.ReplicaId;

/**
 * Simulates the time without a leader after an acknowledged entry: three voters with the platform's
 * times, ticks of 40 ms, and messages and syncs of a few milliseconds.
 */
final class ElectionSchedule {

  private static final long MILLISECOND = TimeUnit.MILLISECONDS.toNanos(1);
  private static final long TICK_NANOS = 40 * MILLISECOND;
  private static final long END_NANOS = 30_000 * MILLISECOND;

  /** Time within which the processes start again. */
  private static final int START_SPREAD_MILLISECONDS = 60;

  private static final List<ReplicaId> VOTERS =
      List.of(
          new ReplicaId(new InstanceId("voter-1"), 1),
          new ReplicaId(new InstanceId("voter-2"), 2),
          new ReplicaId(new InstanceId("voter-3"), 3));

  /** What happens once the entry is acknowledged. */
  enum Loss {
    /** The leader is gone; the others go on running. */
    LEADER,
    /** All processes start again. */
    ALL_PROCESSES,
    /** All processes start again, but the voter that led is gone. */
    ALL_PROCESSES_AND_LEADER
  }

  private record Step(long time, long sequence, Runnable step) {}

  private final Random random;
  private final PriorityQueue<Step> queue =
      new PriorityQueue<>(Comparator.comparingLong(Step::time).thenComparing(Step::sequence));
  private final Map<InstanceId, RaftCore> cores = new LinkedHashMap<>();
  private final RaftSettings settings =
      RaftSettings.builder()
          .electionNanos(800 * MILLISECOND, 1_600 * MILLISECOND)
          .leaseNanos(720 * MILLISECOND)
          .build();
  private final int syncMilliseconds;
  private final int messageMilliseconds;
  private long now;
  private long sequence;

  ElectionSchedule(long seed) {
    random = new Random(seed);
    syncMilliseconds = 1 + random.nextInt(30);
    messageMilliseconds = 1 + random.nextInt(5);
  }

  /** Returns the time from the loss until a leader has committed an entry of its term. */
  long nanosWithoutLeader(Loss loss) {
    // The first voter has led, and the last one may lack its latest entry.
    boolean lastLacksEntry = random.nextBoolean();
    for (ReplicaId voter : VOTERS) {
      boolean gone = loss != Loss.ALL_PROCESSES && voter.equals(VOTERS.get(0));
      if (!gone) {
        boolean lacks = lastLacksEntry && voter.equals(VOTERS.get(2));
        long startNanos =
            loss == Loss.LEADER ? 0 : random.nextInt(START_SPREAD_MILLISECONDS) * MILLISECOND;
        after(startNanos, () -> start(voter, lacks ? 4 : 5, loss == Loss.LEADER));
      }
    }
    long end = END_NANOS;
    while (!queue.isEmpty() && now < end) {
      Step next = queue.remove();
      now = next.time();
      next.step().run();
      if (cores.values().stream().anyMatch(RaftCore::hasCommittedInCurrentTerm)) {
        return now;
      }
    }
    return END_NANOS;
  }

  private void start(ReplicaId voter, long lastIndex, boolean heardLeader) {
    Snapshot formed = new Snapshot(1, 1, new Configuration(VOTERS, List.of()), new byte[0]);
    List<LogEntry> entries = new ArrayList<>();
    for (long index = 2; index <= lastIndex; index++) {
      entries.add(new LogEntry(index, 1, EntryKind.COMMAND, new byte[0]));
    }
    RaftCore core =
        new RaftCore(
            voter, settings, new RecoveredState(new HardState(1, null), formed, entries), now);
    cores.put(voter.instance(), core);
    after(random.nextInt((int) TICK_NANOS), () -> tick(core));
    if (heardLeader) {
      core.handle(new RaftEvent.Tick(random.nextDouble()), now);
      RaftMessage heartbeat =
          new RaftMessage.AppendRequest(1, lastIndex, 1, List.of(), 1, now, OptionalLong.empty());
      core.handle(
          new RaftEvent.Received(
              new RaftEnvelope(VOTERS.get(0), voter.instance(), voter, heartbeat)),
          now);
    }
  }

  private void tick(RaftCore core) {
    handle(core, new RaftEvent.Tick(random.nextDouble()));
    after(TICK_NANOS, () -> tick(core));
  }

  private void handle(RaftCore core, RaftEvent event) {
    List<RaftAction> actions = core.handle(event, now);
    boolean syncs = actions.stream().anyMatch(RaftAction.StorageAction.class::isInstance);
    long sentAfter = syncs ? syncMilliseconds * MILLISECOND : 0;
    for (RaftAction action : actions) {
      if (action instanceof RaftAction.Send send) {
        long delay = MILLISECOND / 2 + random.nextInt(messageMilliseconds * (int) MILLISECOND);
        after(sentAfter + delay, () -> deliver(send.envelope()));
      }
    }
  }

  private void deliver(RaftEnvelope envelope) {
    RaftCore receiver = cores.get(envelope.instance());
    if (receiver != null) {
      handle(receiver, new RaftEvent.Received(envelope));
    }
  }

  private void after(long nanos, Runnable step) {
    queue.add(new Step(now + nanos, sequence++, step));
  }
}
