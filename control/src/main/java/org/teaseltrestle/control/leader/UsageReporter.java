package org.teaseltrestle.control.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.wire.UsageWindow;

/**
 * Decides which usage window to close or to report next. A window is sent only after its figures
 * are fixed by commit, one at a time, oldest first, and with the same figures until its report is
 * committed. It keeps nothing that a restart would lose: the next leader reads the state.
 */
public final class UsageReporter {

  // Batches are proposed every second; one that comes later than this counts as late.
  private static final long CLOSE_DELAY_SECONDS = 5;
  private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final OutwardAuthority lease;
  private final long windowSeconds;
  private @Nullable Long sending;
  private @Nullable Long delivered;
  private long closeDueAtNanos;
  private long reportDueAtNanos;

  /**
   * Creates a reporter.
   *
   * @param lease lease of this replica
   * @param windowSeconds length of a window
   * @param nowNanos now
   */
  public UsageReporter(OutwardAuthority lease, long windowSeconds, long nowNanos) {
    this.lease = lease;
    this.windowSeconds = windowSeconds;
    this.closeDueAtNanos = nowNanos;
    this.reportDueAtNanos = nowNanos;
  }

  /** What happens around the reporter. */
  public sealed interface Event {}

  /**
   * Time has passed or the state has changed.
   *
   * @param view newest view
   * @param wallMillis wall time, milliseconds since 1970
   */
  public record Tick(ControlView view, long wallMillis) implements Event {}

  /**
   * A send has ended.
   *
   * @param window window that was sent
   * @param accepted whether the platform confirmed it; a lost answer is not a confirmation
   */
  public record SendEnded(long window, boolean accepted) implements Event {}

  /** What the reporter asks for. */
  public sealed interface Action {}

  /**
   * Propose closing a window and all before it.
   *
   * @param window window
   * @param term authority term of the command
   */
  public record ProposeClose(long window, long term) implements Action {}

  /**
   * Send a report, after asking the lease once more.
   *
   * @param window closed window
   * @param fencingNumber fencing number of the authority
   */
  public record Send(UsageWindow window, long fencingNumber) implements Action {}

  /**
   * Propose that a window is reported.
   *
   * @param window window
   * @param term authority term of the command
   */
  public record ProposeReported(long window, long term) implements Action {}

  /** Handles an event. */
  public List<Action> handle(Event event, long nowNanos) {
    List<Action> actions = new ArrayList<>();
    if (event instanceof SendEnded ended) {
      sending = null;
      delivered = ended.accepted() ? Long.valueOf(ended.window()) : null;
      reportDueAtNanos = ended.accepted() ? nowNanos : nowNanos + RETRY_NANOS;
    } else if (event instanceof Tick tick && isInCharge(tick.view(), nowNanos)) {
      close(tick, nowNanos, actions);
      report(tick.view(), nowNanos, actions);
    }
    return actions;
  }

  private boolean isInCharge(ControlView view, long nowNanos) {
    return lease.mayAct(nowNanos) && view.authority().getTerm() == lease.term();
  }

  private void close(Tick tick, long nowNanos, List<Action> actions) {
    long ended =
        (TimeUnit.MILLISECONDS.toSeconds(tick.wallMillis()) - CLOSE_DELAY_SECONDS) / windowSeconds
            - 1;
    boolean due =
        tick.view().usageWindows().stream()
            .anyMatch(window -> !window.getClosed() && window.getWindow() <= ended);
    if (due && nowNanos - closeDueAtNanos >= 0) {
      closeDueAtNanos = nowNanos + RETRY_NANOS;
      actions.add(new ProposeClose(ended, lease.term()));
    }
  }

  private void report(ControlView view, long nowNanos, List<Action> actions) {
    Optional<UsageWindow> next =
        view.usageWindows().stream()
            .filter(window -> window.getClosed() && !window.getReported())
            .findFirst();
    if (next.isEmpty() || sending != null) {
      return;
    }
    long window = next.get().getWindow();
    if (delivered != null && delivered != window) {
      // The delivered window is committed as reported; the next one need not wait.
      delivered = null;
      reportDueAtNanos = nowNanos;
    }
    if (nowNanos - reportDueAtNanos < 0) {
      return;
    }
    if (delivered != null && delivered == window) {
      reportDueAtNanos = nowNanos + RETRY_NANOS;
      actions.add(new ProposeReported(window, lease.term()));
    } else {
      sending = window;
      actions.add(new Send(next.get(), view.authority().getFencingNumber()));
    }
  }
}
