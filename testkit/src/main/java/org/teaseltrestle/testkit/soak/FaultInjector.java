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

/** Carries a schedule of faults out on a cluster. Used by one thread. */
final class FaultInjector {

  private static final EventLog LOG = EventLog.of(FaultInjector.class);

  /** Begins like a record, with a length that the file does not hold. */
  private static final byte[] TORN_RECORD = {0, 0, 1, 7, 42, 42};

  /** Each way; a hundred times the delay between failure domains of the users. */
  private static final long SLOW_MILLIS = 120;

  private final LocalCluster cluster;
  private final List<SoakStep> active = new ArrayList<>();

  private record Moment(long atMillis, boolean begins, SoakStep step) {}

  FaultInjector(LocalCluster cluster) {
    this.cluster = cluster;
  }

  /** Runs the schedule and returns when its last fault has ended. */
  void run(List<SoakStep> steps) {
    List<Moment> moments = new ArrayList<>();
    for (SoakStep step : steps) {
      moments.add(new Moment(step.fromMillis(), true, step));
      moments.add(new Moment(step.untilMillis(), false, step));
    }
    // The sort is stable, so a fault without length still begins before it ends.
    moments.sort(Comparator.comparingLong(Moment::atMillis));
    long startNanos = System.nanoTime();
    for (Moment moment : moments) {
      waitUntil(startNanos + TimeUnit.MILLISECONDS.toNanos(moment.atMillis()));
      if (moment.begins()) {
        active.add(moment.step());
        guarded(moment, this::begin);
      } else {
        active.remove(moment.step());
        guarded(moment, this::end);
      }
    }
  }

  /** Ends what is left of all faults: every node runs, every link passes. */
  void restore() {
    active.clear();
    cluster.heal();
    for (ClusterNode node : cluster.nodes()) {
      startIfEnded(node.instance());
    }
  }

  private void guarded(Moment moment, Consumer<SoakStep> action) {
    LOG.info(
        moment.begins() ? TestkitEvent.FAULT_BEGINS : TestkitEvent.FAULT_ENDS,
        "fault",
        moment.step());
    try {
      action.accept(moment.step());
    } catch (TrestleException e) {
      // An overlapping fault has ended the process between the check and the signal.
      LOG.warn(TestkitEvent.FAULT_SKIPPED, e, "fault", moment.step());
    }
  }

  private void begin(SoakStep step) {
    SoakFault fault = step.fault();
    for (String target : step.targets()) {
      if (fault.hitsEngine()) {
        engine(fault, target, true);
      } else if (fault == SoakFault.RESET) {
        others(target).forEach(other -> resetLinks(target, other));
      } else if (fault == SoakFault.FREEZE) {
        whileRunning(target, () -> cluster.process(target).freeze());
      } else if (fault == SoakFault.STOP) {
        whileRunning(target, () -> cluster.process(target).terminate());
      } else if (fault.endsProcess()) {
        whileRunning(target, () -> cluster.kill(target));
        changeDisk(fault, target);
      }
    }
    applyLinks();
  }

  private void end(SoakStep step) {
    SoakFault fault = step.fault();
    for (String target : step.targets()) {
      if (fault.hitsEngine()) {
        engine(fault, target, false);
      } else if (fault == SoakFault.FREEZE && !isActive(SoakFault.FREEZE, target)) {
        whileRunning(target, () -> cluster.process(target).unfreeze());
      } else if (fault.endsProcess()) {
        startIfEnded(target);
      }
    }
    applyLinks();
  }

  private void whileRunning(String instance, Runnable action) {
    if (cluster.runs(instance)) {
      action.run();
    }
  }

  /** A node that is still stopping stays down; the restore after the faults starts it. */
  private void startIfEnded(String instance) {
    boolean heldDown =
        active.stream()
            .anyMatch(step -> step.fault().endsProcess() && step.targets().contains(instance));
    if (!heldDown && !cluster.runs(instance)) {
      cluster.startNode(instance);
    }
  }

  private boolean isActive(SoakFault fault, String target) {
    return active.stream()
        .anyMatch(step -> step.fault() == fault && step.targets().contains(target));
  }

  private void changeDisk(SoakFault fault, String instance) {
    if (fault == SoakFault.LOSE_DISK && !cluster.runs(instance)) {
      cluster.loseDisk(instance);
    } else if (fault == SoakFault.TORN_LOG && !cluster.runs(instance)) {
      newestSegment(cluster.node(instance).dataFolder()).ifPresent(FaultInjector::tear);
    }
  }

  private static Optional<Path> newestSegment(Path folder) {
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

  private static void tear(Path segment) {
    try {
      Files.write(segment, TORN_RECORD, StandardOpenOption.APPEND);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.FILE_ACCESS, segment + " cannot be written", e);
    }
  }

  private void engine(SoakFault fault, String engine, boolean begins) {
    if (fault == SoakFault.ENGINE_CRASH) {
      cluster.fakes().ask(engine, begins ? "crash" : "restart", null);
      return;
    }
    cluster.fakes().listAs(engine, begins ? "leaving" : "live");
    cluster.fakes().ask(engine, begins ? "leave" : "return", null);
  }

  private List<String> others(String instance) {
    return cluster.nodes().stream()
        .map(ClusterNode::instance)
        .filter(other -> !other.equals(instance))
        .toList();
  }

  private void resetLinks(String one, String other) {
    cluster.link(one, other).breakConnections();
    cluster.link(other, one).breakConnections();
  }

  /** Sets all links as the active faults demand; a cut outweighs a delay. */
  private void applyLinks() {
    cluster.heal();
    for (SoakStep step : active) {
      if (step.fault() == SoakFault.DELAY) {
        step.targets().forEach(this::delayLinks);
      }
    }
    for (SoakStep step : active) {
      for (String target : step.targets()) {
        cutLinks(step.fault(), target);
      }
    }
  }

  private void delayLinks(String instance) {
    for (String other : others(instance)) {
      cluster.link(instance, other).delay(SLOW_MILLIS);
      cluster.link(other, instance).delay(SLOW_MILLIS);
    }
  }

  private void cutLinks(SoakFault fault, String instance) {
    switch (fault) {
      case CUT_SENDING -> cluster.cutOneWay(List.of(instance), others(instance));
      case CUT_RECEIVING -> cluster.cutOneWay(others(instance), List.of(instance));
      case CUT_OFF -> cluster.cutBothWays(List.of(instance), others(instance));
      case CUT_PLATFORM -> cluster.cutPlatform(instance);
      default -> {
        // The other faults leave the links alone.
      }
    }
  }

  private static void waitUntil(long deadlineNanos) {
    long left = deadlineNanos - System.nanoTime();
    while (left > 0) {
      LockSupport.parkNanos(left);
      left = deadlineNanos - System.nanoTime();
    }
  }
}
