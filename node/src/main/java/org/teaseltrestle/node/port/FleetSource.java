package org.teaseltrestle.node.port;

import java.util.List;

/** The platform's list of backend servers; it lags behind their actual state. */
@FunctionalInterface
public interface FleetSource {

  /**
   * Reads the list.
   *
   * @throws org.teaseltrestle.model.TrestleException if the platform returns none
   */
  List<ListedServer> readFleet();

  /** Returns whether it is known without a call that the list is the same as at the last read. */
  default boolean isUnchanged() {
    return false;
  }
}
