package org.teaseltrestle.kernel;

import java.util.function.IntConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Reports what threads and tasks throw. An {@link Error}, such as heap exhaustion, leaves a process
 * that runs without one of its duties; such a process ends, so that it is started again.
 */
public final class FatalErrors {

  /** Exit code of a process that ended because of an error. */
  public static final int EXIT_CODE = 70;

  private static final EventLog LOG = EventLog.of(FatalErrors.class);

  private static volatile @Nullable IntConsumer exit;

  private FatalErrors() {}

  /** Makes errors of any thread end this process without running its shutdown hooks. */
  public static void endProcessOnError() {
    install(Runtime.getRuntime()::halt);
    Thread.setDefaultUncaughtExceptionHandler(FatalErrors::report);
  }

  /** Makes errors call a function with the exit code, nothing if it is null. */
  static void install(@Nullable IntConsumer newExit) {
    exit = newExit;
  }

  /** Returns a task that reports what the given task throws, for executors that would hide it. */
  public static Runnable reporting(Runnable task) {
    return () -> {
      try {
        task.run();
      } catch (Throwable e) {
        report(Thread.currentThread(), e);
      }
    };
  }

  /** Logs what a thread threw and, if it is an error, ends the process. */
  public static void report(Thread thread, Throwable thrown) {
    IntConsumer currentExit = exit;
    try {
      KernelEvent event =
          thrown instanceof Error ? KernelEvent.FATAL_ERROR : KernelEvent.TASK_FAILED;
      LOG.error(event, thrown, "thread", thread.getName());
    } finally {
      // Logging may fail for the same reason, such as an exhausted heap.
      if (thrown instanceof Error && currentExit != null) {
        currentExit.accept(EXIT_CODE);
      }
    }
  }
}
