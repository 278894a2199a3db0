package org.teaseltrestle.node.port;

import org.teaseltrestle.wire.PlatformOrder;

/** Orders and gives back backend servers. The caller checks its authority before each call. */
@FunctionalInterface
public interface PlatformOrders {

  /**
   * Sends an order once and returns what became of it; never throws for a failed call.
   *
   * @param authorityFencingNumber fencing number of the authority under which it is sent
   */
  OrderAnswer send(PlatformOrder order, long authorityFencingNumber);
}
