package org.teaseltrestle.kernel;

import java.util.ArrayDeque;
import java.util.Deque;

/** Gathers resources and closes them in reverse order of registration. */
public final class Closer implements AutoCloseable {

  private final Deque<AutoCloseable> resources = new ArrayDeque<>();

  /** Registers a resource and returns it. */
  public synchronized <T extends AutoCloseable> T register(T resource) {
    resources.push(resource);
    return resource;
  }

  /** Closes all resources; failures are logged and do not keep the others from being closed. */
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
