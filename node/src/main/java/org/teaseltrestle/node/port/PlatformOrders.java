package org.teaseltrestle.node.port;

import org.teaseltrestle.wire.PlatformOrder;

/** Orders and gives back backend servers. The caller checks its authority before each call. */
@FunctionalInterface
public interface PlatformOrders {

  /** Sends an order once and returns what became of it; never throws for a failed call. */
  OrderAnswer send(PlatformOrder order);
}
