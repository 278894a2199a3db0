package org.teaseltrestle.control;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.teaseltrestle.wire.CloseUsageWindow;
import org.teaseltrestle.wire.CommandAnswer;
import org.teaseltrestle.wire.ControlSnapshot;
import org.teaseltrestle.wire.UsageBatch;
import org.teaseltrestle.wire.UsageFigure;
import org.teaseltrestle.wire.UsageReported;
import org.teaseltrestle.wire.UsageSource;
import org.teaseltrestle.wire.UsageWindow;

/**
 * Usage figures by window. A closed window never changes; records that arrive after the close are
 * counted in the next open window and marked late.
 */
final class UsageArea {

  /** Number of reported windows that are retained for queries. */
  static final int RETAINED_REPORTED_WINDOWS = 16;

  private static final long SOURCE_RETENTION_MILLIS = TimeUnit.DAYS.toMillis(7);

  private PersistentMap<Long, Window> windows = PersistentMap.empty();
  private PersistentMap<ProcessStart, Source> sources = PersistentMap.empty();
  private boolean anyClosed;
  private long closedThrough;

  PersistentMap<Long, Window> windows() {
    return windows;
  }

  long closedThrough() {
    return closedThrough;
  }

  CommandAnswer.Builder count(UsageBatch batch, CommandContext context) {
    ProcessStart process = new ProcessStart(batch.getInstance(), batch.getBoot());
    long counted = sources.get(process).map(Source::lastSequence).orElse(0L);
    if (batch.getLastSequence() <= counted) {
      return CommandAnswers.accepted(batch.getInstance()).setLastSequence(counted);
    }
    if (batch.getFirstSequence() != counted + 1) {
      return CommandAnswers.conflict(
              batch.getInstance(),
              "batch starts at sequence "
                  + batch.getFirstSequence()
                  + ", but "
                  + process
                  + " is counted up to "
                  + counted)
          .setLastSequence(counted);
    }
    add(batch);
    sources = sources.with(process, new Source(batch.getLastSequence(), context.stateTimeMillis()));
    return CommandAnswers.accepted(batch.getInstance()).setLastSequence(batch.getLastSequence());
  }

  CommandAnswer.Builder close(CloseUsageWindow change, AuthorityArea authority) {
    String subject = Long.toString(change.getWindow());
    Optional<CommandAnswer.Builder> rejection =
        authority.rejection(change.getAuthorityTerm(), subject);
    if (rejection.isPresent()) {
      return rejection.get();
    }
    if (!isClosed(change.getWindow())) {
      anyClosed = true;
      closedThrough = change.getWindow();
      for (Map.Entry<Long, Window> entry : windows.entries()) {
        if (isClosed(entry.getKey()) && !entry.getValue().closed()) {
          windows = windows.with(entry.getKey(), entry.getValue().close());
        }
      }
    }
    return CommandAnswers.accepted(subject);
  }

  CommandAnswer.Builder recordReported(UsageReported change, AuthorityArea authority) {
    String subject = Long.toString(change.getWindow());
    Optional<CommandAnswer.Builder> rejection =
        authority.rejection(change.getAuthorityTerm(), subject);
    if (rejection.isPresent()) {
      return rejection.get();
    }
    Optional<Window> window = windows.get(change.getWindow());
    if (!isClosed(change.getWindow())) {
      return CommandAnswers.rejected(subject, "the window is not closed");
    }
    window.ifPresent(w -> windows = windows.with(change.getWindow(), w.markReported()));
    removeOldReported();
    return CommandAnswers.accepted(subject);
  }

  void prune(long stateTimeMillis, InstancesArea instances) {
    for (Map.Entry<ProcessStart, Source> entry : sources.entries()) {
      if (!instances.isCurrent(entry.getKey())
          && entry.getValue().changedAtMillis() + SOURCE_RETENTION_MILLIS < stateTimeMillis) {
        sources = sources.without(entry.getKey());
      }
    }
  }

  void save(ControlSnapshot.Builder snapshot) {
    snapshot.setUsageClosedThrough(closedThrough).setUsageAnyClosed(anyClosed);
    windows.entries().forEach(e -> snapshot.addUsageWindows(e.getValue().toWire(e.getKey())));
    for (Map.Entry<ProcessStart, Source> entry : sources.entries()) {
      snapshot.addUsageSources(
          UsageSource.newBuilder()
              .setInstance(entry.getKey().instance())
              .setBoot(entry.getKey().boot())
              .setLastSequence(entry.getValue().lastSequence())
              .setChangedAtMillis(entry.getValue().changedAtMillis()));
    }
  }

  void load(ControlSnapshot snapshot) {
    closedThrough = snapshot.getUsageClosedThrough();
    anyClosed = snapshot.getUsageAnyClosed();
    for (UsageWindow window : snapshot.getUsageWindowsList()) {
      windows = windows.with(window.getWindow(), Window.of(window));
    }
    for (UsageSource source : snapshot.getUsageSourcesList()) {
      sources =
          sources.with(
              new ProcessStart(source.getInstance(), source.getBoot()),
              new Source(source.getLastSequence(), source.getChangedAtMillis()));
    }
  }

  private boolean isClosed(long window) {
    return anyClosed && window <= closedThrough;
  }

  private void add(UsageBatch batch) {
    if (batch.getFiguresCount() == 0) {
      return;
    }
    boolean late = isClosed(batch.getWindow());
    long number = late ? closedThrough + 1 : batch.getWindow();
    Window window = windows.get(number).orElse(Window.EMPTY);
    for (UsageFigure figure : batch.getFiguresList()) {
      window = window.plus(figure, late ? figure.getRequests() : figure.getLateRequests());
    }
    windows = windows.with(number, window);
  }

  private void removeOldReported() {
    long reported = windows.values().stream().filter(Window::reported).count();
    for (Map.Entry<Long, Window> entry : windows.entries()) {
      if (reported <= RETAINED_REPORTED_WINDOWS) {
        return;
      }
      if (entry.getValue().reported()) {
        windows = windows.without(entry.getKey());
        reported--;
      }
    }
  }

  private record Source(long lastSequence, long changedAtMillis) {}

  /** Figures of one window by account and item. */
  record Window(PersistentMap<FigureKey, Sums> figures, boolean closed, boolean reported) {

    static final Window EMPTY = new Window(PersistentMap.empty(), false, false);

    static Window of(UsageWindow wire) {
      Window window = EMPTY;
      for (UsageFigure figure : wire.getFiguresList()) {
        window = window.plus(figure, figure.getLateRequests());
      }
      return new Window(window.figures, wire.getClosed(), wire.getReported());
    }

    Window plus(UsageFigure added, long lateRequests) {
      Sums sums =
          new Sums(
              added.getPromptTokens(), added.getOutputTokens(), added.getRequests(), lateRequests);
      FigureKey key = new FigureKey(added.getAccount(), added.getItem());
      return new Window(figures.merge(key, sums, Sums::plus), closed, reported);
    }

    Window close() {
      return new Window(figures, true, reported);
    }

    Window markReported() {
      return new Window(figures, closed, true);
    }

    UsageWindow toWire(long number) {
      UsageWindow.Builder window =
          UsageWindow.newBuilder().setWindow(number).setClosed(closed).setReported(reported);
      figures.entries().forEach(e -> window.addFigures(e.getValue().toWire(e.getKey())));
      return window.build();
    }
  }

  /** Sums of a figure; each node adds thousands per second, so the type is small. */
  record Sums(long promptTokens, long outputTokens, long requests, long lateRequests) {

    Sums plus(Sums other) {
      return new Sums(
          promptTokens + other.promptTokens,
          outputTokens + other.outputTokens,
          requests + other.requests,
          lateRequests + other.lateRequests);
    }

    UsageFigure toWire(FigureKey key) {
      return UsageFigure.newBuilder()
          .setAccount(key.account())
          .setItem(key.item())
          .setPromptTokens(promptTokens)
          .setOutputTokens(outputTokens)
          .setRequests(requests)
          .setLateRequests(lateRequests)
          .build();
    }
  }

  /** Key of a figure within its window. */
  record FigureKey(String account, String item) implements Comparable<FigureKey> {
    @Override
    public int compareTo(FigureKey other) {
      int order = account.compareTo(other.account);
      return order != 0 ? order : item.compareTo(other.item);
    }
  }
}
