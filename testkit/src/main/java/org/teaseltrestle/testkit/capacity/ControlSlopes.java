package org.teaseltrestle.testkit.capacity;

import java.util.List;
import org.teaseltrestle.control.ControlState;
import org.teaseltrestle.testkit.capacity.Slope.Projection;
import org.teaseltrestle.wire.Command;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.IssueKey;
import org.teaseltrestle.wire.ReplaceLists;
import org.teaseltrestle.wire.UsageBatch;

/** Slopes of the control state: memory per item, and processor time of commands and snapshots. */
final class ControlSlopes {

  static final double CHANGES_PER_SECOND = 15_000 / 86_400.0;

  /** Completed requests per second at one node, each with an entry in its usage batch. */
  static final int FIGURES_PER_BATCH = 22;

  private static final int RUNS = 5;
  private static final int CLAIM_BODY_BYTES = 1_024;
  private static final int CLAIMS = 28_000;
  private static final String EVERY_NODE = "every node";

  private ControlSlopes() {}

  static List<Slope> all() {
    return List.of(
        memory("accounts in the lists", "account", States.ACCOUNTS, ControlSlopes::withAccounts),
        memory("keys", "key", States.KEYS, ControlSlopes::withKeys),
        memory("instances", "instance", States.NODES, ControlSlopes::withInstances),
        memory(
            "past process starts",
            "start",
            States.PAST_PROCESS_STARTS,
            ControlSlopes::withPastProcessStarts),
        memory("committed fleet", "replica", States.REPLICAS, ControlSlopes::withReplicas),
        memory("usage figures in 18 windows", "figure", States.FIGURES, ControlSlopes::withFigures),
        memory("idempotency claims, 1 KB body", "claim", CLAIMS, ControlSlopes::withClaims),
        memory("whole state without claims", "% of target", 100, States::percentOfTarget),
        snapshotBytes(),
        snapshotProcessorTime(),
        applyKeys(),
        applyLists(),
        applyBatches());
  }

  /** Creates a control state with the given number of items. */
  private interface StateFactory {
    ControlSnapshot of(int size);
  }

  private static Slope memory(String name, String item, int target, StateFactory factory) {
    return new Slope(
        "memory: " + name,
        "B/" + item,
        size -> {
          byte[] encoded = factory.of(size).toByteArray();
          return Meter.retainedHeapBytes(() -> ControlState.restore(encoded));
        },
        sizes(target),
        List.of(new Projection(EVERY_NODE, "%,d".formatted(target), target, 1, Bound.MEMORY)));
  }

  private static List<Integer> sizes(int target) {
    return List.of(target / 8, target / 4, target / 2);
  }

  private static ControlSnapshot withAccounts(int size) {
    return States.lists(size).build();
  }

  private static ControlSnapshot withKeys(int size) {
    ControlSnapshot.Builder state = States.lists(100);
    for (int i = 0; i < size; i++) {
      state.addKeys(States.key(i));
    }
    return state.build();
  }

  private static ControlSnapshot withInstances(int size) {
    ControlSnapshot.Builder state = States.lists(1);
    for (int i = 0; i < size; i++) {
      state.addInstances(States.node(i));
    }
    return state.build();
  }

  private static ControlSnapshot withPastProcessStarts(int size) {
    ControlSnapshot.Builder state = States.lists(1);
    for (int i = 0; i < size; i++) {
      state.addPastBoots(States.pastBoot(i)).addUsageSources(States.source(i));
    }
    return state.build();
  }

  private static ControlSnapshot withReplicas(int size) {
    ControlSnapshot.Builder state = States.lists(1);
    for (int i = 0; i < size; i++) {
      state.addBackendServers(States.replica(i));
    }
    return state.build();
  }

  private static ControlSnapshot withFigures(int size) {
    ControlSnapshot.Builder state = States.lists(1);
    for (int i = 0; i < 18; i++) {
      state.addUsageWindows(States.window(i, size / 18));
    }
    return state.build();
  }

  private static ControlSnapshot withClaims(int size) {
    ControlSnapshot.Builder state = States.lists(1);
    for (int i = 0; i < size; i++) {
      state.addClaims(States.claim(i, CLAIM_BODY_BYTES));
    }
    return state.build();
  }

  private static Slope snapshotBytes() {
    return new Slope(
        "bytes: snapshot without claims",
        "B/% of target",
        size -> ControlState.restore(States.percentOfTarget(size).toByteArray()).snapshot().length,
        List.of(10, 25, 50),
        List.of(
            new Projection("every node", "one snapshot, bytes", 100, 1, Bound.NONE),
            new Projection(
                "parent",
                "1,400 restarts a day over 420",
                100,
                1_400.0 / 420 / 86_400,
                Bound.BYTES)));
  }

  private static Slope snapshotProcessorTime() {
    return new Slope(
        "processor: snapshot encoded and restored",
        "ns/% of target",
        size -> {
          ControlState state = ControlState.restore(States.percentOfTarget(size).toByteArray());
          return Meter.minimumProcessorNanos(RUNS, () -> ControlState.restore(state.snapshot()));
        },
        List.of(10, 25, 50),
        List.of(
            new Projection("every node", "once", 100, 1, Bound.NONE),
            new Projection(
                "parent",
                "1,400 restarts a day over 420",
                100,
                1_400.0 / 420 / 86_400,
                Bound.PROCESSOR)));
  }

  private static Slope applyKeys() {
    return new Slope(
        "processor: change of a key applied",
        "ns/change",
        size -> {
          byte[] initialState = States.lists(100).build().toByteArray();
          return Meter.minimumProcessorNanos(
              RUNS, () -> applyKeyChanges(ControlState.restore(initialState), size));
        },
        List.of(2_000, 4_000, 8_000),
        List.of(
            Projection.events(
                EVERY_NODE, "15,000 changes a day", CHANGES_PER_SECOND, Bound.PROCESSOR)));
  }

  private static void applyKeyChanges(ControlState state, int changes) {
    for (int i = 0; i < changes; i++) {
      IssueKey change = IssueKey.newBuilder().setKey(States.key(i)).build();
      requireAccepted(
          state.apply(
              i + 2, Command.newBuilder().setRequestId("k" + i).setIssueKey(change).build()));
    }
  }

  static Command listsCommand(int accounts) {
    ReplaceLists lists =
        ReplaceLists.newBuilder()
            .setAccountsJson(States.accountsJson(accounts))
            .setPlansJson(States.plansJson())
            .build();
    return Command.newBuilder().setRequestId("lists").setReplaceLists(lists).build();
  }

  private static Slope applyLists() {
    return new Slope(
        "processor: change of the lists applied",
        "ns/account",
        size -> {
          Command change = listsCommand(size);
          return Meter.minimumProcessorNanos(
              RUNS, () -> requireAccepted(new ControlState().apply(1, change)));
        },
        List.of(275, 550, 1_100),
        List.of(
            new Projection(
                EVERY_NODE,
                "1,100 accounts, 15,000 changes a day",
                States.ACCOUNTS,
                CHANGES_PER_SECOND,
                Bound.PROCESSOR)));
  }

  /** Returns the usage batch of a node for one second, with each entry for another account. */
  static Command usageBatch(int node, int sequence, int figures) {
    UsageBatch.Builder batch =
        UsageBatch.newBuilder()
            .setInstance(States.instance(node))
            .setBoot(-1 - node)
            .setFirstSequence((long) sequence * figures + 1)
            .setLastSequence((long) (sequence + 1) * figures)
            .setWindow(28_000_000);
    for (int i = 0; i < figures; i++) {
      batch.addFigures(States.figure(node * 31 + sequence * 7 + i * 50));
    }
    return Command.newBuilder()
        .setRequestId("usage/" + States.instance(node) + "/ffffffffffffffff/" + sequence)
        .setProposedAtMillis(1_700_000_000_000L)
        .setUsageBatch(batch)
        .build();
  }

  private static Slope applyBatches() {
    return new Slope(
        "processor: usage batch of 22 figures applied",
        "ns/batch",
        size -> {
          List<Command> batches =
              java.util.stream.IntStream.range(0, size)
                  .mapToObj(i -> usageBatch(i % States.NODES, i / States.NODES, FIGURES_PER_BATCH))
                  .toList();
          return Meter.minimumProcessorNanos(RUNS, () -> applyAll(batches));
        },
        List.of(1_000, 2_000, 4_000),
        List.of(
            Projection.events(EVERY_NODE, "420 batches a second", States.NODES, Bound.PROCESSOR)));
  }

  private static void applyAll(List<Command> commands) {
    ControlState state = new ControlState();
    for (int i = 0; i < commands.size(); i++) {
      requireAccepted(state.apply(i + 1, commands.get(i)));
    }
  }

  private static void requireAccepted(CommandAnswer answer) {
    if (answer.getStatus() != CommandAnswer.Status.ACCEPTED) {
      throw new IllegalStateException(answer.toString());
    }
  }
}
