package org.teaseltrestle.node.port;

import java.util.Set;
import org.teaseltrestle.model.InstanceId;
import org.teaseltrestle.model.TrestleException;

/** The platform's lagging list of this system's own instances. */
@FunctionalInterface
public interface EntryInstances {

  /**
   * Returns the instances that the platform states to be gone for good.
   *
   * @throws TrestleException if the platform gives no list
   */
  Set<InstanceId> gone();
}
