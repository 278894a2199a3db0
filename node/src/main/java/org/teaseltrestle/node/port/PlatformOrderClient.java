package org.teaseltrestle.node.port;

import org.teaseltrestle.wire.PlatformOrder;

/**
 * Sends orders that buy or release backend servers to the platform. The caller checks its authority
 * directly before each call.
 */
@FunctionalInterface
public interface PlatformOrderClient {

  /**
   * Sends an order once and returns its outcome; never throws for a failed call.
   *
   * @param authorityFencingNumber fencing number of the authority under which it is sent
   */
  OrderResponse send(PlatformOrder order, long authorityFencingNumber);
}
