package org.teaseltrestle.node.port;

import java.util.List;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.wire.BackendServerRecord;

/**
 * The platform's list of backend servers with the fields that the order book needs; it lags behind
 * their actual state.
 */
@FunctionalInterface
public interface PlatformFleet {

  /**
   * Reads the list.
   *
   * @throws TrestleException if the platform returns none
   */
  List<BackendServerRecord> servers();
}
