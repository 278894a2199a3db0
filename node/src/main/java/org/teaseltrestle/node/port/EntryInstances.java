package org.teaseltrestle.node.port;

import java.util.Set;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;

/** The platform's list of this system's own instances; it lags behind their actual state. */
@FunctionalInterface
public interface EntryInstances {

  /**
   * Returns the instances that the platform lists as permanently terminated.
   *
   * @throws TrestleException if the platform returns no list
   */
  Set<InstanceId> terminatedInstances();
}
