package org.teaseltrestle.node.replica;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;

/**
 * Decides where and when the open calls to the leader are sent. While no leader is known, a call
 * asks one voter after the other, with growing delays. As soon as a later leader is heard of, every
 * call that waits or asks another instance is sent to it, once; further news of the same leader
 * causes no attempts, so that a leader that refuses is asked at the rate of the delays. Not
 * thread-safe.
 */
final class LeaderCallSchedule {

  private static final int SHORTEST_RETRY_DELAY_MILLISECONDS = 50;

  /** Without a limit on the rate, the calls of a hundred instances delay the election itself. */
  private static final int LONGEST_RETRY_DELAY_MILLISECONDS = 400;

  private static final int MAXIMUM_DOUBLINGS = 3;

  private final Supplier<List<String>> voters;
  private final Map<Long, OpenCall> calls = new LinkedHashMap<>();
  private @Nullable KnownLeader heard;
  private @Nullable String leader;
  private long leaderFailedAtNanos;
  private int nextVoter;

  /**
   * One attempt of a call.
   *
   * @param call identifier of the call
   * @param number number of the attempt; a later one of the same call supersedes it
   * @param target instance that is asked
   */
  record Attempt(long call, int number, String target) {}

  private static final class OpenCall {
    Attempt latest;
    boolean waiting;
    int failures;
    int redirections;
    final boolean hasEffect;

    /** Number of attempts that have started the request or may yet; without an effect, 0. */
    int undecided;

    OpenCall(Attempt first, boolean hasEffect) {
      latest = first;
      this.hasEffect = hasEffect;
      undecided = hasEffect ? 1 : 0;
    }
  }

  /**
   * Creates a schedule without calls.
   *
   * @param voters instances to ask while no leader is known, in this order; never empty
   */
  LeaderCallSchedule(Supplier<List<String>> voters) {
    this.voters = voters;
  }

  /**
   * Opens a call and returns its first attempt.
   *
   * @param hasEffect whether an attempt may change something, even if its answer is lost
   */
  Attempt open(long call, boolean hasEffect) {
    Attempt first = new Attempt(call, 1, target());
    calls.put(call, new OpenCall(first, hasEffect));
    return first;
  }

  /** Ends a call. */
  void close(long call) {
    calls.remove(call);
  }

  /** Records that an attempt has not started the request and never will. */
  void neverStarted(Attempt attempt) {
    OpenCall call = calls.get(attempt.call());
    if (call != null && call.hasEffect) {
      call.undecided--;
    }
  }

  /**
   * Ends a call whose latest attempt was rejected, if no attempt can have started the request;
   * returns whether it ended.
   */
  boolean closeIfNeverStarted(Attempt rejected) {
    boolean ended = find(rejected).filter(call -> call.undecided == 0).isPresent();
    if (ended) {
      calls.remove(rejected.call());
    }
    return ended;
  }

  /**
   * Records that a leader rejected an attempt of a call that goes on, since an earlier one may have
   * started the request. The leader stays known.
   *
   * @return time of the retry, empty if a later attempt has superseded this one or its retry waits
   */
  OptionalLong rejected(Attempt attempt, long nowNanos) {
    OpenCall call = find(attempt).orElse(null);
    return call == null || call.waiting
        ? OptionalLong.empty()
        : retryAt(call, MAXIMUM_DOUBLINGS, nowNanos);
  }

  /**
   * Records a later leader, or that a leader is still the same. Earlier news changes nothing.
   *
   * @return attempts to send now
   */
  List<Attempt> heard(KnownLeader news) {
    KnownLeader earlier = heard;
    if (earlier != null && !news.isNewsAfter(earlier)) {
      return List.of();
    }
    heard = news;
    if (earlier != null && news.term() == earlier.term()) {
      // Also if a voter has named another one, whose word has no date.
      if (news.asOfNanos() - leaderFailedAtNanos > 0) {
        leader = news.instance();
      }
      return List.of();
    }
    leader = news.instance();
    List<Attempt> attempts = new ArrayList<>();
    for (OpenCall call : calls.values()) {
      if (call.waiting || !call.latest.target().equals(leader)) {
        attempts.add(next(call));
      }
    }
    return attempts;
  }

  /** Records that the leader is no longer known. */
  void lost() {
    leader = null;
  }

  /**
   * Records that an attempt got no answer, or a refusal that names no leader.
   *
   * @return time of the retry, empty if a later attempt has superseded this one or its retry waits
   */
  OptionalLong failed(Attempt attempt, long nowNanos) {
    OpenCall call = find(attempt).orElse(null);
    if (call == null || call.waiting) {
      return OptionalLong.empty();
    }
    if (attempt.target().equals(leader)) {
      leader = null;
      leaderFailedAtNanos = nowNanos;
    }
    nextVoter++;
    return retryAt(call, call.failures++, nowNanos);
  }

  /**
   * Records that an instance does not lead and names the leader that it knows.
   *
   * @return time of the retry, empty if a later attempt has superseded this one
   */
  OptionalLong redirected(Attempt attempt, String namedLeader, long nowNanos) {
    OpenCall call = find(attempt).orElse(null);
    if (call == null || call.waiting || namedLeader.equals(attempt.target())) {
      return failed(attempt, nowNanos);
    }
    if (leader == null || leader.equals(attempt.target())) {
      leader = namedLeader;
      leaderFailedAtNanos = nowNanos;
    }
    // Two instances that name each other must not be asked in a busy loop.
    return retryAt(call, call.redirections++, nowNanos);
  }

  /** Returns the next attempt after a delay, empty if one was sent meanwhile. */
  Optional<Attempt> retry(Attempt failed) {
    return find(failed).filter(call -> call.waiting).map(this::next);
  }

  /** Returns the delay before the next attempt of a call that has failed this often before. */
  static int retryDelayMilliseconds(int earlierFailures) {
    int doublings = Math.min(MAXIMUM_DOUBLINGS, earlierFailures);
    return Math.min(
        LONGEST_RETRY_DELAY_MILLISECONDS, SHORTEST_RETRY_DELAY_MILLISECONDS << doublings);
  }

  private static OptionalLong retryAt(OpenCall call, int earlierFailures, long nowNanos) {
    call.waiting = true;
    return OptionalLong.of(
        nowNanos + TimeUnit.MILLISECONDS.toNanos(retryDelayMilliseconds(earlierFailures)));
  }

  private Optional<OpenCall> find(Attempt attempt) {
    return Optional.ofNullable(calls.get(attempt.call()))
        .filter(call -> call.latest.number() == attempt.number());
  }

  private Attempt next(OpenCall call) {
    call.waiting = false;
    call.latest = new Attempt(call.latest.call(), call.latest.number() + 1, target());
    call.undecided += call.hasEffect ? 1 : 0;
    return call.latest;
  }

  private String target() {
    String knownLeader = leader;
    if (knownLeader != null) {
      return knownLeader;
    }
    List<String> candidates = voters.get();
    return candidates.get(Math.floorMod(nextVoter, candidates.size()));
  }
}
