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

/** A process that the test kit started; signals are sent only to its process ID. */
public final class ManagedProcess implements AutoCloseable {

  private static final EventLog LOG = EventLog.of(ManagedProcess.class);
  private static final Duration KILL_TIMEOUT = Duration.ofSeconds(10);

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

  /** Returns the process ID. */
  public long pid() {
    return process.pid();
  }

  /** Returns whether the process has not exited; a frozen process is alive. */
  public boolean isAlive() {
    return process.isAlive();
  }

  /** Kills the process by SIGKILL and waits until it has exited. */
  public void kill() {
    process.destroyForcibly();
    awaitExit(KILL_TIMEOUT);
  }

  /** Sends SIGTERM and returns without waiting. */
  public void terminate() {
    process.destroy();
  }

  /** Suspends the process by SIGSTOP. */
  public void freeze() {
    sendSignal("STOP");
  }

  /** Resumes a suspended process by SIGCONT. */
  public void unfreeze() {
    sendSignal("CONT");
  }

  /**
   * Waits until the process exits and returns its exit code; throws {@code UNREACHABLE} on timeout.
   */
  public int awaitExit(Duration timeout) {
    try {
      if (!process.waitFor(timeout.toMillis(), TimeUnit.MILLISECONDS)) {
        throw new TrestleException(
            ErrorCode.UNREACHABLE, name + " did not exit within " + timeout.toMillis() + " ms");
      }
      LOG.info(TestkitEvent.PROCESS_ENDED, "name", name, "exitCode", process.exitValue());
      return process.exitValue();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted while waiting for " + name, e);
    }
  }

  /** Kills the process if it is alive. */
  @Override
  public void close() {
    if (process.isAlive()) {
      kill();
    }
  }

  private void sendSignal(String signal) {
    if (!process.isAlive()) {
      throw new TrestleException(ErrorCode.CLOSED, name + " is not running");
    }
    try {
      Process kill = new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start();
      if (kill.waitFor() != 0) {
        throw new TrestleException(ErrorCode.INTERNAL, name + " cannot be sent signal " + signal);
      }
    } catch (IOException e) {
      throw new TrestleException(ErrorCode.INTERNAL, "kill cannot be run", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new TrestleException(ErrorCode.CLOSED, "interrupted while signalling " + name, e);
    }
  }
}
