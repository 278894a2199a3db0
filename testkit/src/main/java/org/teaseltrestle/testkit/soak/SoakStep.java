package org.teaseltrestle.testkit.soak;

import java.util.List;

/**
 * One fault of a schedule.
 *
 * @param fromMillis when it begins, milliseconds after the start of the faults
 * @param untilMillis when it ends, milliseconds after the start of the faults
 * @param fault what happens
 * @param targets instances, or the one engine, that it happens to
 */
record SoakStep(long fromMillis, long untilMillis, SoakFault fault, List<String> targets) {

  SoakStep {
    targets = List.copyOf(targets);
  }

  @Override
  public String toString() {
    return fromMillis + " to " + untilMillis + " ms " + fault + " " + String.join(" ", targets);
  }
}
