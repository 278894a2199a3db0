package org.teaseltrestle.testkit.soak;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.function.Consumer;
import java.util.stream.Stream;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;
import org.teaseltrestle.testkit.cluster.ClusterNode;
import org.teaseltrestle.testkit.cluster.LocalCluster;

/** Injects the faults of a schedule into a cluster. Used by one thread. */
final class FaultInjector {

  private static final EventLog LOG = EventLog.of(FaultInjector.class);

  /** Start of a log record whose length exceeds the bytes that follow, as after a torn write. */
  private static final byte[] TORN_RECORD = {0, 0, 1, 7, 42, 42};

  /** Delay in each direction; a hundred times that between the users' failure domains. */
  private static final long LINK_DELAY_MILLIS = 120;

  private final LocalCluster cluster;
  private final List<ScheduledFault> active = new ArrayList<>();

  private record FaultTransition(long atMillis, boolean starts, ScheduledFault scheduled) {}

  FaultInjector(LocalCluster cluster) {
    this.cluster = cluster;
  }

  /** Runs the schedule and returns when its last fault has ended. */
  void run(List<ScheduledFault> schedule) {
    List<FaultTransition> transitions = new ArrayList<>();
    for (ScheduledFault scheduled : schedule) {
      transitions.add(new FaultTransition(scheduled.fromMillis(), true, scheduled));
      transitions.add(new FaultTransition(scheduled.untilMillis(), false, scheduled));
    }
    // The sort is stable, so a fault of zero duration still starts before it ends.
    transitions.sort(Comparator.comparingLong(FaultTransition::atMillis));
    long startNanos = System.nanoTime();
    for (FaultTransition transition : transitions) {
      waitUntil(startNanos + TimeUnit.MILLISECONDS.toNanos(transition.atMillis()));
      if (transition.starts()) {
        active.add(transition.scheduled());
        logAndApply(transition, this::startFault);
      } else {
        active.remove(transition.scheduled());
        logAndApply(transition, this::endFault);
      }
    }
  }

  /** Ends all remaining faults: restores every link and starts every node that does not run. */
  void restore() {
    active.clear();
    cluster.heal();
    for (ClusterNode node : cluster.nodes()) {
      startIfStopped(node.instance());
    }
  }

  private void logAndApply(FaultTransition transition, Consumer<ScheduledFault> action) {
    LOG.info(
        transition.starts() ? TestkitEvent.FAULT_BEGINS : TestkitEvent.FAULT_ENDS,
        "fault",
        transition.scheduled());
    try {
      action.accept(transition.scheduled());
    } catch (TrestleException e) {
      // An overlapping fault has ended the process between the check and the signal.
      LOG.warn(TestkitEvent.FAULT_SKIPPED, e, "fault", transition.scheduled());
    }
  }

  private void startFault(ScheduledFault scheduled) {
    SoakFault fault = scheduled.fault();
    for (String target : scheduled.targets()) {
      if (fault.targetsEngine()) {
        applyEngineFault(fault, target, true);
      } else if (fault == SoakFault.RESET) {
        otherInstances(target).forEach(other -> resetLinks(target, other));
      } else if (fault == SoakFault.FREEZE) {
        ifRunning(target, () -> cluster.process(target).freeze());
      } else if (fault == SoakFault.STOP) {
        ifRunning(target, () -> cluster.process(target).terminate());
      } else if (fault.stopsProcess()) {
        ifRunning(target, () -> cluster.kill(target));
        damageDisk(fault, target);
      }
    }
    updateLinks();
  }

  private void endFault(ScheduledFault scheduled) {
    SoakFault fault = scheduled.fault();
    for (String target : scheduled.targets()) {
      if (fault.targetsEngine()) {
        applyEngineFault(fault, target, false);
      } else if (fault == SoakFault.FREEZE && !isActive(SoakFault.FREEZE, target)) {
        ifRunning(target, () -> cluster.process(target).unfreeze());
      } else if (fault.stopsProcess()) {
        startIfStopped(target);
      }
    }
    updateLinks();
  }

  private void ifRunning(String instance, Runnable action) {
    if (cluster.isRunning(instance)) {
      action.run();
    }
  }

  /**
   * Starts a node that has exited, unless another active fault keeps it stopped. A node that is
   * still shutting down is left alone; {@link #restore} starts it after the faults.
   */
  private void startIfStopped(String instance) {
    boolean keptStopped =
        active.stream()
            .anyMatch(
                scheduled ->
                    scheduled.fault().stopsProcess() && scheduled.targets().contains(instance));
    if (!keptStopped && !cluster.isRunning(instance)) {
      cluster.startNode(instance);
    }
  }

  private boolean isActive(SoakFault fault, String target) {
    return active.stream()
        .anyMatch(scheduled -> scheduled.fault() == fault && scheduled.targets().contains(target));
  }

  private void damageDisk(SoakFault fault, String instance) {
    if (fault == SoakFault.LOSE_DISK && !cluster.isRunning(instance)) {
      cluster.loseDisk(instance);
    } else if (fault == SoakFault.TORN_LOG && !cluster.isRunning(instance)) {
      latestSegment(cluster.node(instance).dataFolder()).ifPresent(FaultInjector::appendTornRecord);
    }
  }

  private static Optional<Path> latestSegment(Path folder) {
    if (!Files.exists(folder)) {
      return Optional.empty();
    }
    try (Stream<Path> files = Files.walk(folder)) {
      return files
          .filter(file -> file.toString().endsWith(".segment"))
          .max(Comparator.comparing(file -> file.getFileName().toString()));
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, folder + " cannot be read", e);
    }
  }

  private static void appendTornRecord(Path segment) {
    try {
      Files.write(segment, TORN_RECORD, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, segment + " cannot be written", e);
    }
  }

  private void applyEngineFault(SoakFault fault, String engine, boolean starts) {
    if (fault == SoakFault.ENGINE_CRASH) {
      cluster.fakes().postToFake(engine, starts ? "crash" : "restart", null);
      return;
    }
    cluster.fakes().setListedState(engine, starts ? "leaving" : "live");
    cluster.fakes().postToFake(engine, starts ? "leave" : "return", null);
  }

  private List<String> otherInstances(String instance) {
    return cluster.nodes().stream()
        .map(ClusterNode::instance)
        .filter(other -> !other.equals(instance))
        .toList();
  }

  private void resetLinks(String instance, String other) {
    cluster.link(instance, other).breakConnections();
    cluster.link(other, instance).breakConnections();
  }

  /**
   * Sets the mode of all links for the active faults; a partition takes precedence over a delay.
   */
  private void updateLinks() {
    cluster.heal();
    for (ScheduledFault scheduled : active) {
      if (scheduled.fault() == SoakFault.DELAY) {
        scheduled.targets().forEach(this::delayLinks);
      }
    }
    for (ScheduledFault scheduled : active) {
      for (String target : scheduled.targets()) {
        partitionLinks(scheduled.fault(), target);
      }
    }
  }

  private void delayLinks(String instance) {
    for (String other : otherInstances(instance)) {
      cluster.link(instance, other).delay(LINK_DELAY_MILLIS);
      cluster.link(other, instance).delay(LINK_DELAY_MILLIS);
    }
  }

  private void partitionLinks(SoakFault fault, String instance) {
    switch (fault) {
      case CUT_SENDING -> cluster.partitionOneWay(List.of(instance), otherInstances(instance));
      case CUT_RECEIVING -> cluster.partitionOneWay(otherInstances(instance), List.of(instance));
      case CUT_OFF -> cluster.partitionBothWays(List.of(instance), otherInstances(instance));
      case CUT_PLATFORM -> cluster.partitionFromPlatform(instance);
      default -> {
        // The other faults do not block links.
      }
    }
  }

  private static void waitUntil(long deadlineNanos) {
    long remainingNanos = deadlineNanos - System.nanoTime();
    while (remainingNanos > 0) {
      LockSupport.parkNanos(remainingNanos);
      remainingNanos = deadlineNanos - System.nanoTime();
    }
  }
}
