package org.teaseltrestle.node.port;

import org.teaseltrestle.wire.UsageWindow;

/**
 * Sends usage reports to the platform. The caller checks its authority directly before each call.
 */
@FunctionalInterface
public interface PlatformUsageClient {

  /** Reports a closed window once; repeated calls for a window must report the same figures. */
  OrderResponse report(UsageWindow window, long fencingNumber);
}
