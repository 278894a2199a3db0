package org.teaseltrestle.kernel;

import java.util.ArrayDeque;
import java.util.Deque;

/** Closes registered resources in reverse order of registration. Thread-safe. */
public final class Closer implements AutoCloseable {

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Registers a resource and returns it. */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    resources.push(resource);
    return resource;
  }

  /** Closes all resources; a failure is logged and does not prevent closing the others. */
  @Override
  public void close() {
    while (true) {
      AutoCloseable next;
      synchronized (this) {
        if (resources.isEmpty()) {
          return;
        }
        next = resources.pop();
      }
      closeOne(next);
    }
  }

  private static void closeOne(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      if (e instanceof InterruptedException) {
        Thread.currentThread().interrupt();
      }
      EventLog.of(Closer.class).warn(KernelEvent.CLOSE_FAILED, e, "resource", resource.getClass());
    }
  }
}
