package org.teaseltrestle.testkit.command;

import java.util.concurrent.CountDownLatch;

/** Keeps a command running until its process is asked to end. */
final class Foreground {

  private Foreground() {}

  /** Prints that the command is ready, then waits for the end of the process. */
  static void hold(AutoCloseable resource, String ready) {
    CountDownLatch ended = new CountDownLatch(1);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  closeQuietly(resource);
                  ended.countDown();
                }));
    System.out.println(ready);
    try {
      ended.await();
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
