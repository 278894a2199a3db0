package org.teaseltrestle.policy;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Decides whether this instance sends attempts over its own connections or has them carried by
 * another instance. Its links count as lost once connections to half of the servers that it calls
 * have failed without a success in between, and as present again while other instances reach none
 * of these servers either: then the servers are gone. One lost or busy server is no lost link, and
 * neither is a failure domain that is cut off, as long as servers of others are called.
 *
 * <p>Lost links are tried in the background. Once a trial succeeds, a growing part of the attempts
 * uses them. Thread-safe; all times are monotonic.
 */
public final class ServerLinks {

  /** Least number of servers that must have failed, fewer if fewer were called. */
  private static final int FAILED_SERVERS = 2;

  /** Time for which a failed connection counts, and for which a called server counts as called. */
  private static final long MEMORY_NANOS = TimeUnit.SECONDS.toNanos(2);

  private static final long TRIAL_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

  /** Successful connections by which the part of the attempts that use the links doubles. */
  private static final int CONNECTIONS_PER_STEP = 4;

  /** Steps from the first attempts over links that have healed to all of them. */
  private static final int STEPS = 3;

  private final Map<String, Long> failedAtNanos = new HashMap<>();
  private final Map<String, Long> calledAtNanos = new HashMap<>();
  private final Map<String, Long> unreachableForOthersAtNanos = new HashMap<>();
  private State state = State.SOUND;
  private long nextTrialNanos;
  private int step;
  private int connectionsInStep;
  private long attemptsInStep;

  /** How an attempt reaches its backend server. */
  public enum Path {
    /** Over a connection of this instance. */
    OWN,
    /** Over a connection of another instance. */
    CARRIED
  }

  private enum State {
    SOUND,
    LOST,
    HEALING
  }

  /** Returns the path for the next attempt. */
  public synchronized Path nextPath() {
    return switch (state) {
      case SOUND -> Path.OWN;
      case LOST -> Path.CARRIED;
      case HEALING -> attemptsInStep++ % (1L << (STEPS - step)) == 0 ? Path.OWN : Path.CARRIED;
    };
  }

  /** Returns whether the links count as lost, so that nothing can be carried over them. */
  public synchronized boolean areLost() {
    return state == State.LOST;
  }

  /** Returns whether a connection should be tried now; the trial must be reported. */
  public synchronized boolean takeTrial(long nowNanos) {
    if (state != State.LOST || nowNanos - nextTrialNanos < 0) {
      return false;
    }
    nextTrialNanos = nowNanos + TRIAL_INTERVAL_NANOS;
    return true;
  }

  /** Records that a trial of lost links has succeeded. */
  public synchronized void trialSucceeded() {
    if (state == State.LOST) {
      state = State.HEALING;
      step = 0;
      connectionsInStep = 0;
      attemptsInStep = 0;
      failedAtNanos.clear();
    }
  }

  /**
   * Records a connection to a server.
   *
   * @return whether all attempts use the own links again because of it
   */
  public synchronized boolean connected(String server, long nowNanos) {
    calledAtNanos.put(server, nowNanos);
    failedAtNanos.clear();
    trialSucceeded();
    if (state != State.HEALING || ++connectionsInStep < CONNECTIONS_PER_STEP) {
      return false;
    }
    connectionsInStep = 0;
    attemptsInStep = 0;
    step++;
    if (step < STEPS) {
      return false;
    }
    state = State.SOUND;
    return true;
  }

  /**
   * Records that a connection to a server failed before anything was sent, or broke before anything
   * was received.
   *
   * @return whether the links count as lost because of it
   */
  public synchronized boolean failed(String server, long nowNanos) {
    forgetBefore(nowNanos - MEMORY_NANOS);
    calledAtNanos.put(server, nowNanos);
    failedAtNanos.put(server, nowNanos);
    if (state == State.LOST || failedAtNanos.size() < neededFailures()) {
      return false;
    }
    state = State.LOST;
    unreachableForOthersAtNanos.clear();
    nextTrialNanos = nowNanos + TRIAL_INTERVAL_NANOS;
    return true;
  }

  /** Records that another instance has reached a server. */
  public synchronized void reachedByOther() {
    unreachableForOthersAtNanos.clear();
  }

  /**
   * Records that another instance could not connect to a server.
   *
   * @return whether the links no longer count as lost because of it
   */
  public synchronized boolean unreachableForOther(String server, long nowNanos) {
    forgetBefore(nowNanos - MEMORY_NANOS);
    unreachableForOthersAtNanos.put(server, nowNanos);
    int needed = Math.min(FAILED_SERVERS, Math.max(1, calledAtNanos.size()));
    if (state != State.LOST || unreachableForOthersAtNanos.size() < needed) {
      return false;
    }
    state = State.SOUND;
    failedAtNanos.clear();
    return true;
  }

  private int neededFailures() {
    int called = calledAtNanos.size();
    return Math.max(Math.min(FAILED_SERVERS, called), (called + 1) / 2);
  }

  private void forgetBefore(long nanos) {
    failedAtNanos.values().removeIf(each -> each - nanos < 0);
    calledAtNanos.values().removeIf(each -> each - nanos < 0);
    unreachableForOthersAtNanos.values().removeIf(each -> each - nanos < 0);
  }
}
