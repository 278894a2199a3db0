package org.teaseltrestle.node.relay;

import java.util.List;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent;

/** Admission decisions; called only on the thread of the admission duty. */
@FunctionalInterface
public interface AdmissionDecisions {

  /**
   * Handles an event and returns the actions to perform.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  List<AdmissionAction> handle(AdmissionEvent event, long nowNanos);
}
