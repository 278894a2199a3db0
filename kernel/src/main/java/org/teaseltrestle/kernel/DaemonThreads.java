package org.teaseltrestle.kernel;

import java.util.concurrent.ThreadFactory;

/** Creates daemon threads of one name whose uncaught exceptions are reported. */
public final class DaemonThreads implements ThreadFactory {

  private final String name;

  /** Creates a factory of threads with a name. */
  public DaemonThreads(String name) {
    this.name = name;
  }

  @Override
  public Thread newThread(Runnable task) {
    Thread thread = new Thread(task, name);
    thread.setDaemon(true);
    thread.setUncaughtExceptionHandler(FatalErrors::report);
    return thread;
  }
}
