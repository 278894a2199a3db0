package org.teaseltrestle.node.port;

import java.util.List;

/** The platform's lagging list of backend servers. */
@FunctionalInterface
public interface PlatformInstances {

  /**
   * Reads the list.
   *
   * @throws org.teaseltrestle.model.TrestleException if the platform gives none
   */
  List<ListedServer> instances();
}
