package org.teaseltrestle.control.leader;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.control.ControlView;
import org.teaseltrestle.wire.UsageWindow;

/**
 * Decides which usage window to close or to report next. Windows are sent one at a time, oldest
 * first, after a commit has made their figures final, and with the same figures until the report is
 * committed. A restart loses no state: the next leader reads the committed state.
 */
public final class UsageReporter {

  // Batches are proposed every second; records that arrive later than this count as late.
  private static final long CLOSE_DELAY_SECONDS = 5;
  private static final long RETRY_NANOS = TimeUnit.SECONDS.toNanos(1);

  private final ExternalActionAuthority lease;
  private final long windowSeconds;
  private @Nullable Long windowInProgress;
  private @Nullable Long confirmedWindow;
  private long closeDueAtNanos;
  private long reportDueAtNanos;

  /**
   * Creates a reporter.
   *
   * @param lease lease of this replica
   * @param windowSeconds length of a window in seconds
   * @param nowNanos current time
   */
  public UsageReporter(ExternalActionAuthority lease, long windowSeconds, long nowNanos) {
    this.lease = lease;
    this.windowSeconds = windowSeconds;
    this.closeDueAtNanos = nowNanos;
    this.reportDueAtNanos = nowNanos;
  }

  /** Input of the reporter. */
  public sealed interface Event {}

  /**
   * Time has passed or the state has changed.
   *
   * @param view latest view
   * @param wallMillis wall time, milliseconds since 1970
   */
  public record Tick(ControlView view, long wallMillis) implements Event {}

  /**
   * The send of a window has ended.
   *
   * @param window window that was sent
   * @param accepted whether the platform confirmed it; a lost response is no confirmation
   */
  public record SendEnded(long window, boolean accepted) implements Event {}

  /** Action that the reporter requests. */
  public sealed interface Action {}

  /**
   * Propose to close a window and all earlier ones.
   *
   * @param window window
   * @param term authority term of the command
   */
  public record ProposeClose(long window, long term) implements Action {}

  /**
   * Send the report of a window; check the lease again just before.
   *
   * @param window closed window
   * @param fencingNumber fencing number of the current authority
   */
  public record Send(UsageWindow window, long fencingNumber) implements Action {}

  /**
   * Propose to mark a window as reported.
   *
   * @param window window
   * @param term authority term of the command
   */
  public record ProposeReported(long window, long term) implements Action {}

  /** Handles an event and returns the requested actions. */
  public List<Action> handle(Event event, long nowNanos) {
    List<Action> actions = new ArrayList<>();
    if (event instanceof SendEnded ended) {
      windowInProgress = null;
      confirmedWindow = ended.accepted() ? Long.valueOf(ended.window()) : null;
      reportDueAtNanos = ended.accepted() ? nowNanos : nowNanos + RETRY_NANOS;
    } else if (event instanceof Tick tick && holdsAuthority(tick.view(), nowNanos)) {
      closeEnded(tick, nowNanos, actions);
      reportNext(tick.view(), nowNanos, actions);
    }
    return actions;
  }

  private boolean holdsAuthority(ControlView view, long nowNanos) {
    return lease.mayAct(nowNanos) && view.authority().getTerm() == lease.term();
  }

  private void closeEnded(Tick tick, long nowNanos, List<Action> actions) {
    long lastEnded =
        (TimeUnit.MILLISECONDS.toSeconds(tick.wallMillis()) - CLOSE_DELAY_SECONDS) / windowSeconds
            - 1;
    boolean due =
        tick.view().usageWindows().stream()
            .anyMatch(window -> !window.getClosed() && window.getWindow() <= lastEnded);
    if (due && nowNanos - closeDueAtNanos >= 0) {
      closeDueAtNanos = nowNanos + RETRY_NANOS;
      actions.add(new ProposeClose(lastEnded, lease.term()));
    }
  }

  private void reportNext(ControlView view, long nowNanos, List<Action> actions) {
    Optional<UsageWindow> next =
        view.usageWindows().stream()
            .filter(window -> window.getClosed() && !window.getReported())
            .findFirst();
    if (next.isEmpty() || windowInProgress != null) {
      return;
    }
    long window = next.get().getWindow();
    if (confirmedWindow != null && confirmedWindow != window) {
      // The confirmed window is committed as reported, so the next one need not wait.
      confirmedWindow = null;
      reportDueAtNanos = nowNanos;
    }
    if (nowNanos - reportDueAtNanos < 0) {
      return;
    }
    if (confirmedWindow != null && confirmedWindow == window) {
      reportDueAtNanos = nowNanos + RETRY_NANOS;
      actions.add(new ProposeReported(window, lease.term()));
    } else {
      windowInProgress = window;
      actions.add(new Send(next.get(), view.authority().getFencingNumber()));
    }
  }
}
