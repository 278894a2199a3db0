package org.teaseltrestle.testkit.soak;

import java.util.List;

/**
 * One fault of a schedule.
 *
 * @param fromMillis start of the fault, in milliseconds after the start of the schedule
 * @param untilMillis end of the fault, in milliseconds after the start of the schedule
 * @param fault kind of fault
 * @param targets IDs of the affected instances, or of the one affected engine
 */
record ScheduledFault(long fromMillis, long untilMillis, SoakFault fault, List<String> targets) {

  ScheduledFault {
    targets = List.copyOf(targets);
  }

  @Override
  public String toString() {
    return fromMillis + " to " + untilMillis + " ms " + fault + " " + String.join(" ", targets);
  }
}
