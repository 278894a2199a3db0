package org.teaseltrestle.policy;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Supplier;

/** All waiting requests, one lane for each model or service. */
final class WaitingRequests {

  private static final Comparator<RequestState> BY_DEADLINE =
      Comparator.<RequestState>comparingLong(request -> request.queueDeadlineNanos)
          .thenComparingLong(request -> request.sequence);

  private final Supplier<RequestQueue> queueFactory;
  private final Map<QueueKey, Lane> lanes = new HashMap<>();
  private final TreeSet<RequestState> byDeadline = new TreeSet<>(BY_DEADLINE);

  WaitingRequests(Supplier<RequestQueue> queueFactory) {
    this.queueFactory = queueFactory;
  }

  /** Adds a request in the phase that it stands in. */
  void add(RequestState request) {
    Lane lane = lane(request.queueKey);
    if (request.phase == RequestState.Phase.RETRY_WAITING) {
      lane.retries.add(request);
    } else {
      lane.queue.add(request);
    }
    byDeadline.add(request);
  }

  /** Removes a request that will not be dispatched. */
  void remove(RequestState request) {
    Lane lane = lane(request.queueKey);
    if (!lane.retries.remove(request)) {
      lane.queue.remove(request);
      if (lane.queue.size() == 0) {
        lane.drain.idle();
      }
    }
    byDeadline.remove(request);
  }

  /** Removes a request that is dispatched now. */
  void take(RequestState request, long nowNanos) {
    Lane lane = lane(request.queueKey);
    if (!lane.retries.remove(request)) {
      lane.queue.take(request);
      lane.drain.dispatched(request.work.workTokens(), lane.queue.size() > 0, nowNanos);
    }
    byDeadline.remove(request);
  }

  /** Returns the rate at which work leaves a lane. */
  DrainRate drain(QueueKey key) {
    return lane(key).drain;
  }

  /** Returns the next requests of a lane in order; those that have run before go first. */
  List<RequestState> next(QueueKey key, int maximum) {
    Lane lane = lane(key);
    if (lane.retries.isEmpty()) {
      return lane.queue.next(maximum);
    }
    List<RequestState> next = new ArrayList<>(maximum);
    Iterator<RequestState> retries = lane.retries.iterator();
    while (next.size() < maximum && retries.hasNext()) {
      next.add(retries.next());
    }
    next.addAll(lane.queue.next(maximum - next.size()));
    return next;
  }

  /** Returns the queue of requests that wait for their first attempt. */
  RequestQueue queue(QueueKey key) {
    return lane(key).queue;
  }

  /** Returns the requests whose time in the queue is over. */
  List<RequestState> expired(long nowNanos) {
    List<RequestState> expired = new ArrayList<>();
    for (RequestState request : byDeadline) {
      if (request.queueDeadlineNanos > nowNanos) {
        break;
      }
      expired.add(request);
    }
    return expired;
  }

  /** Returns all waiting requests. */
  List<RequestState> all() {
    return new ArrayList<>(byDeadline);
  }

  /** Returns the lanes that hold requests. */
  List<QueueKey> keys() {
    List<QueueKey> keys = new ArrayList<>();
    lanes.forEach(
        (key, lane) -> {
          if (lane.queue.size() > 0 || !lane.retries.isEmpty()) {
            keys.add(key);
          }
        });
    return keys;
  }

  private Lane lane(QueueKey key) {
    return lanes.computeIfAbsent(key, missing -> new Lane(queueFactory.get()));
  }

  private static final class Lane {
    final RequestQueue queue;
    final DrainRate drain = new DrainRate();
    final Set<RequestState> retries = new LinkedHashSet<>();

    Lane(RequestQueue queue) {
      this.queue = queue;
    }
  }
}
