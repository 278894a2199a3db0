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

/** All waiting requests, grouped by model or service. */
final class WaitingRequests {

  private static final Comparator<RequestState> BY_DEADLINE =
      Comparator.<RequestState>comparingLong(request -> request.queueDeadlineNanos)
          .thenComparingLong(request -> request.sequence);

  private final Supplier<RequestQueue> queueFactory;
  private final Map<QueueKey, Group> groups = new HashMap<>();
  private final TreeSet<RequestState> byDeadline = new TreeSet<>(BY_DEADLINE);

  WaitingRequests(Supplier<RequestQueue> queueFactory) {
    this.queueFactory = queueFactory;
  }

  /** Adds a request, to the retries or to the queue depending on its phase. */
  void add(RequestState request) {
    Group group = group(request.queueKey);
    if (request.phase == RequestState.Phase.RETRY_WAITING) {
      group.retries.add(request);
    } else {
      group.queue.add(request);
    }
    byDeadline.add(request);
  }

  /** Removes a request that will not be dispatched. */
  void remove(RequestState request) {
    Group group = group(request.queueKey);
    if (!group.retries.remove(request)) {
      group.queue.remove(request);
      if (group.queue.size() == 0) {
        group.drainRate.idle();
      }
    }
    byDeadline.remove(request);
  }

  /** Removes a request that is dispatched now. */
  void take(RequestState request, long nowNanos) {
    Group group = group(request.queueKey);
    if (!group.retries.remove(request)) {
      group.queue.take(request);
      group.drainRate.dispatched(request.work.workTokens(), group.queue.size() > 0, nowNanos);
    }
    byDeadline.remove(request);
  }

  /** Returns the rate at which work leaves the queue of a key. */
  DrainRate drainRate(QueueKey key) {
    return group(key).drainRate;
  }

  /** Returns the next requests of a key in dispatch order; retries precede first attempts. */
  List<RequestState> next(QueueKey key, int maximum) {
    Group group = group(key);
    if (group.retries.isEmpty()) {
      return group.queue.next(maximum);
    }
    List<RequestState> next = new ArrayList<>(maximum);
    Iterator<RequestState> retries = group.retries.iterator();
    while (next.size() < maximum && retries.hasNext()) {
      next.add(retries.next());
    }
    next.addAll(group.queue.next(maximum - next.size()));
    return next;
  }

  /** Returns the queue of requests that wait for their first attempt. */
  RequestQueue queue(QueueKey key) {
    return group(key).queue;
  }

  /** Returns the requests whose queue deadline has passed. */
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

  /** Returns the keys that have waiting requests. */
  List<QueueKey> nonEmptyKeys() {
    List<QueueKey> keys = new ArrayList<>();
    groups.forEach(
        (key, group) -> {
          if (group.queue.size() > 0 || !group.retries.isEmpty()) {
            keys.add(key);
          }
        });
    return keys;
  }

  private Group group(QueueKey key) {
    return groups.computeIfAbsent(key, missing -> new Group(queueFactory.get()));
  }

  private static final class Group {
    final RequestQueue queue;
    final DrainRate drainRate = new DrainRate();
    final Set<RequestState> retries = new LinkedHashSet<>();

    Group(RequestQueue queue) {
      this.queue = queue;
    }
  }
}
