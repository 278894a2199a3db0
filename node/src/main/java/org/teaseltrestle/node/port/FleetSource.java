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
}
