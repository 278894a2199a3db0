package org.teaseltrestle.testkit.cluster;

import java.io.File;
import java.io.IOException;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.model.ErrorCode;
import org.teaseltrestle.model.TrestleException;
import org.teaseltrestle.testkit.TestkitEvent;

/** A process that the test kit started; signals go to its process id only. */
public final class ManagedProcess implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(ManagedProcess.class);
  private static final Duration END_LIMIT = Duration.ofSeconds(10);

  private final String name;
  private final Process process;

  private ManagedProcess(String name, Process process) {
    this.name = name;
    this.process = process;
  }

  /** Starts a process whose output is appended to a file. */
  public static ManagedProcess start(String name, List<String> command, Path output) {
    File file = output.toFile();
    try {
      Process process =
          new ProcessBuilder(command)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(file))
              .start();
      LOG.info(TestkitEvent.PROCESS_STARTED, "name", name, "pid", process.pid());
      return new ManagedProcess(name, process);
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.UNREACHABLE, name + " cannot be started", e);
    }
  }

  /** Returns the process id. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process runs. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process by SIGKILL and waits for its end. */
  public void kill() {
    process.destroyForcibly();
    awaitEnd(END_LIMIT);
  }

  /** Asks the process to end by SIGTERM; returns at once. */
  public void terminate() {
    process.destroy();
  }

  /** Stops the process by SIGSTOP. */
  public void freeze() {
    signal("STOP");
  }

  /** Continues a stopped process by SIGCONT. */
  public void unfreeze() {
    signal("CONT");
  }

  /** Waits for the process's end and returns its exit code; throws if it does not end in time. */
  public int awaitEnd(Duration limit) {
    try {
      if (!process.waitFor(limit.toMillis(), TimeUnit.MILLISECONDS)) {
        throw new TrestleException(
            ErrorCode.UNREACHABLE, name + " did not end within " + limit.toMillis() + " ms");
      }
      LOG.info(TestkitEvent.PROCESS_ENDED, "name", name, "exitCode", process.exitValue());
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted while waiting for " + name, e);
    }
  }

  /** Kills the process if it runs. */
  @Override
  public void close() {
    if (process.isAlive()) {
      kill();
    }
  }

  private void signal(String signal) {
    if (!process.isAlive()) {
      throw new TrestleException(ErrorCode.CLOSED, name + " does not run");
    }
    try {
      Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start();
      if (kill.waitFor() != 0) {
        throw new TrestleException(ErrorCode.INTERNAL, name + " cannot get signal " + signal);
      }
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "kill cannot be run", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted while signalling " + name, e);
    }
  }
}
