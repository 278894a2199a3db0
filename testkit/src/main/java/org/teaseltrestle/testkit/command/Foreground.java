package org.teaseltrestle.testkit.command;

import java.util.concurrent.CountDownLatch;

/** Keeps a command running until its process is asked to terminate. */
final class Foreground {

  private Foreground() {}

  /** Prints the ready message and blocks until shutdown, which closes the resource. */
  static void awaitShutdown(AutoCloseable resource, String readyMessage) {
    CountDownLatch closed = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  closeQuietly(resource);
                  closed.countDown();
                }));
    System.out.println(readyMessage);
    try {
      closed.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static void closeQuietly(AutoCloseable resource) {
    try {
      resource.close();
    } catch (Exception e) {
      System.err.println("could not close: " + e.getMessage());
    }
  }
}
