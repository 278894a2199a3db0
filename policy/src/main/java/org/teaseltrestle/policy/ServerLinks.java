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
 * <p>Full links are not lost ones: a connection that is not made in time is evidence only if
 * nothing has arrived from any server since it was begun. A connection that was refused or broke is
 * evidence in any case, since full links only delay.
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

  private final Map<String, Failure> failures = new HashMap<>();
  private final Map<String, Long> calledAtNanos = new HashMap<>();
  private final Map<String, Long> unreachableForOthersAtNanos = new HashMap<>();
  private State state = State.SOUND;
  private boolean full;
  private boolean lostInSilence;
  private boolean anyArrived;
  private long arrivedAtNanos;
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

  /** What a connection that was not made in time says about the links. */
  public enum Finding {
    /** Nothing, or what is known already. */
    NOTHING,
    /** Connections fail as if the links were lost, but something arrives: they are full. */
    FULL,
    /** The links count as lost. */
    LOST
  }

  private enum State {
    SOUND,
    LOST,
    HEALING
  }

  /** Latest failed connection to a server. */
  private record Failure(long failedAtNanos, long begunAtNanos, boolean timedOut) {}

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

  /**
   * Returns whether half of the servers cannot be connected to although something arrives. Such
   * links are used, but have no room for the attempts of others.
   */
  public synchronized boolean areFull(long nowNanos) {
    forgetBefore(nowNanos - MEMORY_NANOS);
    return state != State.LOST && !failures.isEmpty() && failures.size() >= neededFailures();
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
      forgetFailures();
    }
  }

  /**
   * Records that a connection to a server was made or that bytes of a response arrived, not that
   * bytes were read which had arrived before.
   *
   * @return whether the links no longer count as lost because of it
   */
  public synchronized boolean arrived(long nowNanos) {
    anyArrived = true;
    arrivedAtNanos = nowNanos;
    // Links that refuse connections may still carry the responses of earlier ones.
    if (state != State.LOST || !lostInSilence) {
      return false;
    }
    trialSucceeded();
    return true;
  }

  /**
   * Records a connection to a server.
   *
   * @return whether all attempts use the own links again because of it
   */
  public synchronized boolean connected(String server, long nowNanos) {
    calledAtNanos.put(server, nowNanos);
    anyArrived = true;
    arrivedAtNanos = nowNanos;
    forgetFailures();
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
   * Records that a connection to a server was refused or failed before anything was sent, or broke
   * before anything was received.
   *
   * @return whether the links count as lost because of it
   */
  public synchronized boolean failed(String server, long nowNanos) {
    return add(server, new Failure(nowNanos, nowNanos, false), nowNanos) == Finding.LOST;
  }

  /**
   * Records that a connection to a server was not made in time.
   *
   * @param begunAtNanos time at which the connection was begun
   */
  public synchronized Finding timedOut(String server, long begunAtNanos, long nowNanos) {
    return add(server, new Failure(nowNanos, begunAtNanos, true), nowNanos);
  }

  private Finding add(String server, Failure failure, long nowNanos) {
    forgetBefore(nowNanos - MEMORY_NANOS);
    calledAtNanos.put(server, nowNanos);
    failures.put(server, failure);
    if (state == State.LOST) {
      return Finding.NOTHING;
    }
    int needed = neededFailures();
    if (failures.values().stream().filter(this::isEvidence).count() < needed) {
      boolean wasFull = full;
      full = failures.size() >= needed;
      return full && !wasFull ? Finding.FULL : Finding.NOTHING;
    }
    state = State.LOST;
    full = false;
    lostInSilence = failures.values().stream().filter(each -> !each.timedOut).count() < needed;
    unreachableForOthersAtNanos.clear();
    nextTrialNanos = nowNanos + TRIAL_INTERVAL_NANOS;
    return Finding.LOST;
  }

  private boolean isEvidence(Failure failure) {
    boolean silent = !anyArrived || arrivedAtNanos - failure.begunAtNanos < 0;
    return silent || !failure.timedOut;
  }

  private void forgetFailures() {
    failures.clear();
    full = false;
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
    forgetFailures();
    return true;
  }

  private int neededFailures() {
    int called = calledAtNanos.size();
    return Math.max(Math.min(FAILED_SERVERS, called), (called + 1) / 2);
  }

  private void forgetBefore(long nanos) {
    failures.values().removeIf(each -> each.failedAtNanos - nanos < 0);
    calledAtNanos.values().removeIf(each -> each - nanos < 0);
    unreachableForOthersAtNanos.values().removeIf(each -> each - nanos < 0);
  }
}
