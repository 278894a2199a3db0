package org.teaseltrestle.node.port;

import org.teaseltrestle.wire.EngineOrder;

/** Sends orders to engines. The caller checks its authority directly before each call. */
@FunctionalInterface
public interface EngineOrderClient {

  /** Sends an order once and returns its outcome; never throws for a failed call. */
  OrderResponse send(String address, EngineOrder order);
}
