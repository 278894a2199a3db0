package org.teaseltrestle.node.port;

import java.util.List;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.BackendServerRecord;

/** The platform's lagging list of backend servers, with what the order book needs. */
@FunctionalInterface
public interface PlatformFleet {

  /**
   * Reads the list.
   *
   * @throws TrestleException if the platform gives none
   */
  List<BackendServerRecord> servers();
}
