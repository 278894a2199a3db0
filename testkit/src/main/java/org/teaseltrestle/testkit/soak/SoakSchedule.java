package org.teaseltrestle.testkit.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/** Makes a seeded schedule of faults, in series and overlapping; equal seeds give equal ones. */
final class SoakSchedule {

  private static final int FIRST_MILLIS = 1_000;

  /** Faults last up to seven seconds, so with these pauses two or three of them overlap. */
  private static final int SHORTEST_PAUSE_MILLIS = 200;

  private static final int LONGEST_PAUSE_MILLIS = 2_500;

  /** Part of the faults that come as a series at the same targets. */
  private static final double SERIES_SHARE = 0.3;

  private static final int LONGEST_SERIES = 4;
  private static final int SHORTEST_GAP_MILLIS = 150;
  private static final int LONGEST_GAP_MILLIS = 1_500;

  private final SplittableRandom random;
  private final SoakShape shape;
  private final List<SoakStep> steps = new ArrayList<>();
  private boolean diskChanged;

  private SoakSchedule(long seed, SoakShape shape) {
    this.random = new SplittableRandom(seed);
    this.shape = shape;
  }

  /** Returns the faults in the order in which they begin. */
  static List<SoakStep> of(long seed, SoakShape shape) {
    return new SoakSchedule(seed, shape).make();
  }

  private List<SoakStep> make() {
    long at = FIRST_MILLIS;
    while (at < shape.lengthMillis()) {
      SoakFault fault = draw();
      List<String> targets = targets(fault);
      int count = random.nextDouble() < SERIES_SHARE ? random.nextInt(2, LONGEST_SERIES + 1) : 1;
      long begin = at;
      // A second loss of a disk may hit the last copy of what was accepted; that is no promise.
      for (int i = 0; i < (fault.changesDisk() ? 1 : count) && begin < shape.lengthMillis(); i++) {
        long end = add(begin, fault, targets);
        begin = end + random.nextInt(SHORTEST_GAP_MILLIS, LONGEST_GAP_MILLIS);
      }
      at += random.nextInt(SHORTEST_PAUSE_MILLIS, LONGEST_PAUSE_MILLIS);
    }
    steps.sort(Comparator.comparingLong(SoakStep::fromMillis));
    return List.copyOf(steps);
  }

  private long add(long begin, SoakFault fault, List<String> targets) {
    int span = fault.longestMillis() - fault.shortestMillis();
    long end = begin + fault.shortestMillis() + (span == 0 ? 0 : random.nextInt(span));
    long until = Math.min(end, shape.lengthMillis());
    steps.add(new SoakStep(begin, until, fault, targets));
    diskChanged = diskChanged || fault.changesDisk();
    return until;
  }

  private SoakFault draw() {
    int sum = 0;
    for (SoakFault fault : SoakFault.values()) {
      sum += weight(fault);
    }
    int drawn = random.nextInt(sum);
    for (SoakFault fault : SoakFault.values()) {
      drawn -= weight(fault);
      if (drawn < 0) {
        return fault;
      }
    }
    throw new IllegalStateException("no fault was drawn");
  }

  /** One voter's disk is changed in a schedule: losses of a majority are not survived. */
  private int weight(SoakFault fault) {
    return fault.changesDisk() && diskChanged ? 0 : fault.weight();
  }

  private List<String> targets(SoakFault fault) {
    if (fault == SoakFault.KILL_DOMAIN) {
      return any(shape.domains());
    }
    if (fault.hitsEngine()) {
      return List.of(any(shape.engines()));
    }
    if (fault.changesDisk()) {
      return List.of(any(shape.voters()));
    }
    // Half of the faults hit voters, of which large clusters have few.
    return List.of(any(random.nextBoolean() ? shape.voters() : shape.instances()));
  }

  private <T> T any(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }
}
