package org.teaseltrestle.node.port;

import org.teaseltrestle.wire.UsageWindow;

/** Takes usage reports. The caller checks its authority directly before each call. */
@FunctionalInterface
public interface PlatformUsage {

  /** Reports a closed window once; the figures of a window never differ between two calls. */
  OrderAnswer report(UsageWindow window, long fencingNumber);
}
