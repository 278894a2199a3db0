package org.teaseltrestle.node.relay;

import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlGateway;
import org.teaseltrestle.kernel.EventLog;
import org.teaseltrestle.kernel.LogEvent;
import org.teaseltrestle.wire.Command;

/**
 * Commits the commands of one reporter, one at a time. A command that failed is sent again
 * unchanged. Confined to one thread, except for the answers to commands.
 */
final class CommandSender {

  private static final EventLog LOG = EventLog.of(CommandSender.class);

  /** Time until a failed command is sent again; an overloaded leader fails it at once. */
  private static final long RESEND_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  private final ControlGateway control;
  private final LogEvent failed;
  private final Runnable afterAnswer;
  private @Nullable Command unconfirmed;
  private long resendAtNanos;
  private volatile Progress progress = Progress.IDLE;

  private enum Progress {
    IDLE,
    RUNNING,
    FAILED
  }

  /**
   * Creates a sender.
   *
   * @param failed event that is logged when a command fails
   * @param afterAnswer called by any thread when the next command may be sent
   */
  CommandSender(ControlGateway control, LogEvent failed, Runnable afterAnswer) {
    this.control = control;
    this.failed = failed;
    this.afterAnswer = afterAnswer;
  }

  /**
   * Sends a command, unless an earlier one is still running.
   *
   * @param next returns the command to send, or null if there is none
   */
  void flush(long nowNanos, Supplier<@Nullable Command> next) {
    Progress current = progress;
    if (current == Progress.RUNNING
        || (current == Progress.FAILED && nowNanos - resendAtNanos < 0)) {
      return;
    }
    Command failedCommand = current == Progress.FAILED ? unconfirmed : null;
    Command command = failedCommand == null ? next.get() : failedCommand;
    if (command == null) {
      return;
    }
    unconfirmed = command;
    resendAtNanos = nowNanos + RESEND_NANOS;
    progress = Progress.RUNNING;
    control
        .propose(command)
        .whenComplete(
            (answer, failure) -> {
              progress = failure == null ? Progress.IDLE : Progress.FAILED;
              if (failure == null) {
                afterAnswer.run();
              } else {
                LOG.warn(failed, "reason", failure);
              }
            });
  }

  /**
   * Gives up a command that failed if a later one makes it pointless. The later one is not sent
   * sooner than the failed one would have been.
   */
  void discardFailed(Predicate<Command> pointless) {
    Command command = unconfirmed;
    if (progress == Progress.FAILED && command != null && pointless.test(command)) {
      unconfirmed = null;
    }
  }
}
