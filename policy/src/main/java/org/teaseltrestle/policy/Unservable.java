package org.teaseltrestle.policy;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.teaseltrestle.model.ClientAccount;
import org.teaseltrestle.policy.RequestState.Phase;

/**
 * Finds requests that no backend server can take in time, and when there is room for them again:
 * because all servers pause, or because all are limited and the requests that wait take their room.
 */
final class Unservable {

  private static final Duration RETRY_AFTER = Duration.ofSeconds(1);

  /** Part of a request's waiting time that is left for the ticks in which it is dispatched. */
  private static final long TICK_MARGIN_NANOS = 100_000_000L;

  private static final int RETRY_TURN = -1;

  private final Fleet fleet;
  private final WaitingRequests waiting;

  Unservable(Fleet fleet, WaitingRequests waiting) {
    this.fleet = fleet;
    this.waiting = waiting;
  }

  /**
   * Returns the time after which there is room for a request that does not wait yet, null if it can
   * be served in time.
   */
  @Nullable Duration retryAfter(RequestState request, long nowNanos) {
    return fleet.canServe(request, nowNanos)
        ? whileLimited(request, request.queueDeadlineNanos, nowNanos)
        : whilePaused(request, nowNanos);
  }

  /**
   * Returns the time after which the limits of the servers leave room for a request that does not
   * wait yet, null if they do before its deadline.
   */
  @Nullable Duration whileLimited(RequestState request, long deadlineNanos, long nowNanos) {
    if (!isLimited(fleet.usable(request, nowNanos))) {
      return null;
    }
    List<Turn> turns = turns(request.queueKey);
    if (turns.stream().anyMatch(turn -> turn.competesWith(request))) {
      // An account that waits already leaves later room to others, which would displace it.
      long half = nowNanos + (deadlineNanos - nowNanos) / 2;
      return whileLimitedBehind(request, turns.size(), half, nowNanos);
    }
    int latestTurn = request.attempt > 0 ? RETRY_TURN : 0;
    int ahead = (int) turns.stream().filter(turn -> turn.position() <= latestTurn).count();
    return whileLimitedBehind(request, ahead, deadlineNanos, nowNanos);
  }

  /** Returns the waiting requests whose servers all pause, with the time until one is back. */
  Map<RequestState, Duration> waitingWhilePaused(long nowNanos) {
    Map<RequestState, Duration> unservable = new LinkedHashMap<>();
    for (RequestState request : waiting.all()) {
      if (holdsNoResponse(request) && !fleet.canServe(request, nowNanos)) {
        unservable.put(request, whilePaused(request, nowNanos));
      }
    }
    return unservable;
  }

  /** Returns the waiting requests for which the limits of their servers leave no room in time. */
  Map<RequestState, Duration> waitingWhileLimited(long nowNanos) {
    if (!fleet.limits().any()) {
      return Map.of();
    }
    Map<RequestState, Duration> unservable = new LinkedHashMap<>();
    for (QueueKey key : waiting.nonEmptyKeys()) {
      int ahead = 0;
      for (Turn turn : turns(key)) {
        RequestState request = turn.request();
        Duration wait = whileLimitedBehind(request, ahead, request.queueDeadlineNanos, nowNanos);
        if (wait != null && holdsNoResponse(request)) {
          unservable.put(request, wait);
        } else {
          ahead++;
        }
      }
    }
    return unservable;
  }

  private Duration whilePaused(RequestState request, long nowNanos) {
    return fleet.shortestPause(request, nowNanos).orElse(RETRY_AFTER);
  }

  /**
   * Returns the time after which there is room for a request.
   *
   * @param ahead number of requests that take room before it
   */
  private @Nullable Duration whileLimitedBehind(
      RequestState request, int ahead, long deadlineNanos, long nowNanos) {
    List<ServerState> servers = fleet.usable(request, nowNanos);
    if (!isLimited(servers)) {
      return null;
    }
    long until = Math.max(nowNanos, deadlineNanos - TICK_MARGIN_NANOS);
    long room = 0;
    for (ServerState server : servers) {
      room += server.limitShare.roomUntil(until, nowNanos);
    }
    if (room > ahead) {
      return null;
    }
    Duration wait = Duration.ofNanos(roomAtNanos(servers, ahead, nowNanos) - nowNanos);
    return fleet
        .shortestPause(request, nowNanos)
        .filter(pause -> pause.compareTo(wait) < 0)
        .orElse(wait);
  }

  private static boolean isLimited(List<ServerState> servers) {
    return !servers.isEmpty() && servers.stream().allMatch(s -> s.limitShare.isLimited());
  }

  /** Returns when there is room for a request after those that are ahead of it took theirs. */
  private static long roomAtNanos(List<ServerState> servers, int ahead, long nowNanos) {
    long[] next = new long[servers.size()];
    for (int i = 0; i < next.length; i++) {
      next[i] = servers.get(i).limitShare.roomAtNanos(nowNanos);
    }
    int first = first(next);
    for (int taken = 0; taken < ahead; taken++) {
      next[first] = servers.get(first).limitShare.roomAfterNanos(next[first]);
      first = first(next);
    }
    return next[first];
  }

  private static int first(long[] times) {
    int first = 0;
    for (int i = 1; i < times.length; i++) {
      first = times[i] < times[first] ? i : first;
    }
    return first;
  }

  private static boolean holdsNoResponse(RequestState request) {
    return request.outputTokens == 0;
  }

  /**
   * Returns the waiting requests of a key in about the order in which they are dispatched: retries
   * first, then the accounts in turn.
   */
  private List<Turn> turns(QueueKey key) {
    List<Turn> turns = new ArrayList<>();
    Map<ClientAccount, Integer> positions = new HashMap<>();
    for (RequestState request : waiting.all()) {
      if (request.queueKey.equals(key)) {
        boolean retry = request.phase == Phase.RETRY_WAITING;
        int position =
            retry ? RETRY_TURN : positions.merge(request.work.account(), 1, Integer::sum) - 1;
        turns.add(new Turn(request, position));
      }
    }
    turns.sort(Comparator.comparingInt(Turn::position));
    return turns;
  }

  /**
   * A waiting request.
   *
   * @param position place among those of its account, {@link #RETRY_TURN} for a retry
   */
  private record Turn(RequestState request, int position) {
    boolean competesWith(RequestState arriving) {
      return arriving.attempt == 0
          && position != RETRY_TURN
          && request.work.account().equals(arriving.work.account());
    }
  }
}
