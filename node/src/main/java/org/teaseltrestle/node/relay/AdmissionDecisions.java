package org.teaseltrestle.node.relay;

import java.util.List;
import org.teaseltrestle.policy.AdmissionAction;
import org.teaseltrestle.policy.AdmissionEvent;

/** The admission decisions; called by the admission duty's thread only. */
@FunctionalInterface
public interface AdmissionDecisions {

  /**
   * Takes an event and returns what is to be done.
   *
   * @param nowNanos monotonic time in nanoseconds
   */
  List<AdmissionAction> handle(AdmissionEvent event, long nowNanos);
}
