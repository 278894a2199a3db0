package org.teaseltrestle.kernel;

import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.jspecify.annotations.Nullable;

/**
 * Runs one duty, a background loop on a thread of its own: handles the items of its ring one after
 * the other and calls a tick at regular intervals. A runtime exception is logged and the loop
 * continues; an error ends the loop and, as {@link FatalErrors} describes, the process.
 *
 * @param <T> item type
 */
public final class DutyThread<T> implements AutoCloseable {

  private static final long JOIN_TIMEOUT_MILLISECONDS = 5_000;
  private static final int MAXIMUM_BATCH = 256;

  private final String name;
  private final BoundedRing<T> ring;
  private final Consumer<T> handler;
  private final LongConsumer tick;
  private final TickSchedule schedule;
  private final MonotonicClock clock;
  private final Thread thread;
  private volatile boolean stopped;

  /** Decides when a duty has something to do although nothing was queued. */
  @FunctionalInterface
  public interface TickSchedule {

    /**
     * Returns the monotonic time of the next tick, in nanoseconds. Called on the duty's thread
     * after each batch of items and each tick, so it must be cheap.
     *
     * @param lastTickNanos monotonic time of the last tick
     */
    long nextTickNanos(long lastTickNanos);
  }

  /**
   * Creates a duty that ticks at a fixed interval; {@link #start()} starts its thread.
   *
   * @param tick called with the current monotonic time in nanoseconds
   * @param tickIntervalNanos time between two ticks, in nanoseconds
   */
  public DutyThread(
      String name,
      int ringCapacity,
      Consumer<T> handler,
      LongConsumer tick,
      long tickIntervalNanos,
      MonotonicClock clock) {
    this(
        name,
        ringCapacity,
        handler,
        tick,
        (TickSchedule) lastTickNanos -> lastTickNanos + tickIntervalNanos,
        clock);
  }

  /**
   * Creates a duty that ticks when its schedule says; {@link #start()} starts its thread.
   *
   * @param tick called with the current monotonic time in nanoseconds
   */
  public DutyThread(
      String name,
      int ringCapacity,
      Consumer<T> handler,
      LongConsumer tick,
      TickSchedule schedule,
      MonotonicClock clock) {
    this.name = name;
    this.ring = new BoundedRing<>(ringCapacity);
    this.handler = handler;
    this.tick = tick;
    this.schedule = schedule;
    this.clock = clock;
    this.thread = new DaemonThreads("duty-" + name).newThread(this::run);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** Queues an item; returns false, without waiting, if the ring is full or the duty is closed. */
  public boolean offer(T item) {
    return !stopped && ring.offer(item);
  }

  /** Returns the number of queued items, which may be stale. */
  public int backlog() {
    return ring.size();
  }

  /** Stops the thread and waits for it for up to 5 s, unless called on that thread. */
  @Override
  public void close() {
    stopped = true;
    if (Thread.currentThread() == thread) {
      return;
    }
    thread.interrupt();
    try {
      thread.join(JOIN_TIMEOUT_MILLISECONDS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private void run() {
    long lastTickNanos = 0;
    boolean ticked = false;
    while (!stopped) {
      for (int i = 0; i < MAXIMUM_BATCH; i++) {
        @Nullable T item = ring.poll();
        if (item == null) {
          break;
        }
        runLoggingExceptions(() -> handler.accept(item));
      }
      long now = clock.nowNanos();
      if (!ticked || now - schedule.nextTickNanos(lastTickNanos) >= 0) {
        ticked = true;
        lastTickNanos = now;
        runLoggingExceptions(() -> tick.accept(now));
      }
      long waitNanos = schedule.nextTickNanos(lastTickNanos) - clock.nowNanos();
      if (waitNanos > 0) {
        ring.await(waitNanos);
      }
    }
  }

  private void runLoggingExceptions(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      if (!stopped) {
        EventLog.of(DutyThread.class).error(KernelEvent.DUTY_FAILED, e, "duty", name);
      }
    }
  }
}
