package org.teaseltrestle.testkit.soak;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Generates a schedule of overlapping faults and series of faults; equal seeds give equal
 * schedules.
 */
final class SoakSchedule {

  private static final int FIRST_FAULT_MILLIS = 1_000;

  /** Pauses between the starts of faults. Faults last up to 7 s, so that two or three overlap. */
  private static final int MINIMUM_PAUSE_MILLIS = 200;

  private static final int MAXIMUM_PAUSE_MILLIS = 2_500;

  /** Fraction of the drawn faults that are repeated as a series on the same targets. */
  private static final double SERIES_FRACTION = 0.3;

  private static final int MAXIMUM_SERIES_LENGTH = 4;
  private static final int MINIMUM_GAP_MILLIS = 150;
  private static final int MAXIMUM_GAP_MILLIS = 1_500;

  private final SplittableRandom random;
  private final FaultScheduleInput input;
  private final List<ScheduledFault> schedule = new ArrayList<>();
  private boolean diskDamaged;

  private SoakSchedule(long seed, FaultScheduleInput input) {
    this.random = new SplittableRandom(seed);
    this.input = input;
  }

  /** Returns the faults in the order in which they start. */
  static List<ScheduledFault> of(long seed, FaultScheduleInput input) {
    return new SoakSchedule(seed, input).generate();
  }

  private List<ScheduledFault> generate() {
    long startMillis = FIRST_FAULT_MILLIS;
    while (startMillis < input.lengthMillis()) {
      SoakFault fault = drawFault();
      List<String> targets = chooseTargets(fault);
      int count =
          random.nextDouble() < SERIES_FRACTION ? random.nextInt(2, MAXIMUM_SERIES_LENGTH + 1) : 1;
      long faultStart = startMillis;
      // A second lost disk may hold the last copy of accepted state, whose loss is no violation.
      for (int i = 0;
          i < (fault.damagesDisk() ? 1 : count) && faultStart < input.lengthMillis();
          i++) {
        long faultEnd = addFault(faultStart, fault, targets);
        faultStart = faultEnd + random.nextInt(MINIMUM_GAP_MILLIS, MAXIMUM_GAP_MILLIS);
      }
      startMillis += random.nextInt(MINIMUM_PAUSE_MILLIS, MAXIMUM_PAUSE_MILLIS);
    }
    schedule.sort(Comparator.comparingLong(ScheduledFault::fromMillis));
    return List.copyOf(schedule);
  }

  private long addFault(long faultStart, SoakFault fault, List<String> targets) {
    int durationRange = fault.maximumMillis() - fault.minimumMillis();
    long faultEnd =
        faultStart
            + fault.minimumMillis()
            + (durationRange == 0 ? 0 : random.nextInt(durationRange));
    long cappedEnd = Math.min(faultEnd, input.lengthMillis());
    schedule.add(new ScheduledFault(faultStart, cappedEnd, fault, targets));
    diskDamaged = diskDamaged || fault.damagesDisk();
    return cappedEnd;
  }

  private SoakFault drawFault() {
    int totalWeight = 0;
    for (SoakFault fault : SoakFault.values()) {
      totalWeight += weight(fault);
    }
    int remainingWeight = random.nextInt(totalWeight);
    for (SoakFault fault : SoakFault.values()) {
      remainingWeight -= weight(fault);
      if (remainingWeight < 0) {
        return fault;
      }
    }
    throw new IllegalStateException("no fault was drawn");
  }

  /** Allows one disk fault in a schedule, since the loss of a majority's disks is not tolerated. */
  private int weight(SoakFault fault) {
    return fault.damagesDisk() && diskDamaged ? 0 : fault.weight();
  }

  private List<String> chooseTargets(SoakFault fault) {
    if (fault == SoakFault.KILL_DOMAIN) {
      return pickRandom(input.domains());
    }
    if (fault.targetsEngine()) {
      return List.of(pickRandom(input.engines()));
    }
    if (fault.damagesDisk()) {
      return List.of(pickRandom(input.voters()));
    }
    // Half of the other faults target voters, since large clusters have few of them.
    return List.of(pickRandom(random.nextBoolean() ? input.voters() : input.instances()));
  }

  private <T> T pickRandom(List<T> choices) {
    return choices.get(random.nextInt(choices.size()));
  }
}
